#!/usr/bin/env python3
"""Writes the example fleets. The files are committed; run this only to change them."""

import hashlib
import pathlib

HERE = pathlib.Path(__file__).parent


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def entity(kind, **fields):
    lines = [f"[[{kind}]]"]
    for name, value in fields.items():
        lines.append(f"{name} = {value}")
    return "\n".join(lines) + "\n"


def text(value):
    return f'"{value}"'


def texts(values):
    return "[" + ", ".join(text(v) for v in values) + "]"


def keys(name):
    return f'[{{ id = "k1", sha256 = "{digest("example-key-of-" + name)}" }}]'


def fleet(number, region, domains, pools, services, workspaces):
    parts = [f"number = {number}\n"]
    for domain in domains:
        parts.append(entity("failure_domain", name=text(domain), region=text(region)))
    for pool in pools:
        parts.append(
            entity(
                "pool",
                name=text(pool["name"]),
                model=text(pool["model"]),
                version=text("1"),
                max_tokens=pool["max_tokens"],
                silence_limit_ms=pool["silence_ms"],
            )
        )
        for i, addr in enumerate(pool["addrs"]):
            parts.append(
                entity(
                    "runner",
                    name=text(f"{pool['name']}-{i + 1}"),
                    pool=text(pool["name"]),
                    addr=text(addr),
                    failure_domain=text(domains[i % len(domains)]),
                    max_batch=pool["max_batch"],
                    checks_fence="true" if i % 2 == 0 else "false",
                )
            )
    for service in services:
        routes = ", ".join(
            f'{{ path = "{path}", repeatable = {str(repeatable).lower()} }}'
            for path, repeatable in service["routes"]
        )
        parts.append(entity("service", name=text(service["name"]), route=f"[{routes}]"))
        for i, addr in enumerate(service["addrs"]):
            parts.append(
                entity(
                    "service_upstream",
                    name=text(f"{service['name']}-{i + 1}"),
                    service=text(service["name"]),
                    addr=text(addr),
                    failure_domain=text(domains[i % len(domains)]),
                )
            )
    for name, priority in workspaces:
        parts.append(
            entity(
                "workspace",
                name=text(name),
                priority=priority,
                pools=texts(p["name"] for p in pools),
                services=texts(s["name"] for s in services),
                keys=keys(name),
            )
        )
    parts.append(entity("operator", name=text("operations"), keys=keys("operations")))
    return "\n".join(parts)


def control_settings(name, ip, names, base, folder):
    lines = [
        f'name = "{name}"',
        f'boxes_addr = "{ip(name)}:{base}"',
        f'operators_addr = "{ip(name)}:{base + 1}"',
        f'data_folder = "{folder}/{name}.data"',
        f'box_keys = [{{ id = "k1", file = "{folder}/box.key" }}]',
        "",
        "[[operator]]",
        'name = "operations"',
        f"keys = {keys('operations')}",
    ]
    for peer in names:
        lines += [
            "",
            "[[peer]]",
            f'name = "{peer}"',
            f'boxes_addr = "{ip(peer)}:{base}"',
            f'operators_addr = "{ip(peer)}:{base + 1}"',
        ]
    return "\n".join(lines) + "\n"


def entry_settings(name, domain, ip, control, entries, base, folder, extra=()):
    lines = [
        f'name = "{name}"',
        f'failure_domain = "{domain}"',
        f'callers_addr = "{ip(name)}:{base + 2}"',
        f'boxes_addr = "{ip(name)}:{base + 3}"',
        f"control = {texts(f'{ip(c)}:{base}' for c in control)}",
        f"seeds = {texts(f'{ip(e)}:{base + 3}' for e in entries[:3])}",
        f'box_keys = [{{ id = "k1", file = "{folder}/box.key" }}]',
        *extra,
    ]
    return "\n".join(lines) + "\n"


def write_fleet(folder, fleet_text, domains, boxes, net, key_folder, extra=()):
    path = HERE / folder
    path.mkdir(exist_ok=True)
    names = [f"{domains[i % len(domains)]}-{i // len(domains) + 1}" for i in range(boxes)]
    control = [f"control-{domain}" for domain in domains]
    order = names + control

    def ip(name):
        return f"{net}.{order.index(name) + 1}"

    (path / "fleet.toml").write_text(fleet_text)
    for name in control:
        (path / f"{name}.toml").write_text(control_settings(name, ip, control, 7000, key_folder))
    for i, name in enumerate(names):
        domain = domains[i % len(domains)]
        settings = entry_settings(name, domain, ip, control, names, 7000, key_folder, extra)
        (path / f"{name}.toml").write_text(settings)


def addrs(net, first, count, port):
    return [f"{net}.{first + i}:{port}" for i in range(count)]


def main():
    texas = ["austin-a", "austin-b", "roundrock"]
    lenders = ["lone-star", "pecan", "bluebonnet", "mesquite", "brazos"]
    lenders += ["caprock", "palo-duro", "sabine", "trinity", "uvalde"]
    texas_fleet = fleet(
        1,
        "tx-central",
        texas,
        [
            {
                "name": "explainer",
                "model": "amortize-7b",
                "max_tokens": 16000,
                "silence_ms": 1000,
                "max_batch": 32,
                "addrs": addrs("10.20.0", 1, 15, 9000),
            }
        ],
        [
            {
                "name": "calculator",
                "routes": [("/rates", True), ("/payoff", False)],
                "addrs": addrs("10.20.1", 1, 3, 9100),
            }
        ],
        [(name, 9 if i < 2 else 5 if i < 6 else 2) for i, name in enumerate(lenders)],
    )
    write_fleet("texas", texas_fleet, texas, 12, "10.20.2", "/etc/hatchpitch")

    lanka = ["galle-hall", "matara-hall", "hambantota-hall"]
    keepers = ["unawatuna", "mirissa", "weligama", "dickwella", "tangalle"]
    keepers += ["tissa", "kataragama", "ahangama", "deniyaya", "akuressa"]
    lanka_fleet = fleet(
        1,
        "lk-south",
        lanka,
        [
            {
                "name": "season",
                "model": "hive-7b",
                "max_tokens": 32000,
                "silence_ms": 800,
                "max_batch": 32,
                "addrs": addrs("10.30.0", 1, 12, 9000),
            }
        ],
        [
            {
                "name": "scale",
                "routes": [("/forecast", True), ("/scale", False)],
                "addrs": addrs("10.30.1", 1, 3, 9100),
            }
        ],
        [(name, 8 if i < 2 else 4) for i, name in enumerate(keepers)],
    )
    write_fleet("lanka", lanka_fleet, lanka, 9, "10.30.2", "/etc/hatchpitch")

    quick = ["domain-a", "domain-b", "domain-c"]
    quick_fleet = fleet(
        1,
        "here",
        quick,
        [
            {
                "name": "explainer",
                "model": "amortize-7b",
                "max_tokens": 4000,
                "silence_ms": 1000,
                "max_batch": 16,
                "addrs": ["127.77.1.1:9000", "127.77.1.2:9000"],
            }
        ],
        [
            {
                "name": "calculator",
                "routes": [("/rates", True), ("/payoff", False)],
                "addrs": ["127.77.2.1:9100"],
            }
        ],
        [("lone-star", 9), ("pecan", 3)],
    )
    extra = ["", "[timing]", "endpoints_max_age_ms = 1000", "stop_grace_ms = 1500"]
    write_fleet("quickstart", quick_fleet, quick, 3, "127.77.0", "target/quickstart", extra)


if __name__ == "__main__":
    main()
