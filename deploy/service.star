# Optional features of a router, for `portflow serve --site`. `portflow schema` prints the schema with all settings;
# docs/operate/storms.md explains them.
site(
    storm = storm(
        ceiling = 1.1,
        first_share = 0.5,
        budget = 0.2,
        horizon = seconds(5),
        memory = kib(256),
    ),
)
