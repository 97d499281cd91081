site(
    storm = storm(ceiling = 1.2, first_share = 0.4, budget = 0.3, threshold = 0.6, horizon = seconds(7), memory = kib(512)),
    flows = flows(collectors = ["udp://10.0.0.9:4739", "udp://10.0.0.8:4739"], protocol = "netflow9", domain = 7, enterprise = 9, active = seconds(50),
        idle = seconds(12), memory = kib(2048), refresh = seconds(500), mtu = 1300),
)
