# The further parts of a router, for `portflow serve --site`; `portflow schema` lists every setting.
# docs/operate/storms.md says what each does.
site(
    storm = storm(
        ceiling = 1.1,
        first_share = 0.5,
        budget = 0.2,
        horizon = seconds(5),
        memory = kib(256),
    ),
)
