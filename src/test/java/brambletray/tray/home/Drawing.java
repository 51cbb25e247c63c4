package brambletray.tray.home;

import brambletray.tray.yard.Born;
import brambletray.tray.yard.Claim;
import brambletray.tray.yard.Gone;
import brambletray.tray.yard.Host;
import brambletray.tray.yard.Hosts;
import brambletray.tray.yard.Leaving;
import brambletray.tray.yard.Need;
import brambletray.tray.yard.NoRoom;
import brambletray.tray.yard.Quit;
import brambletray.tray.yard.Seen;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Plays a drawn timeline: time downwards in ms, one column a relay. Cells of edges are what they do ({@code ask 1},
 * {@code done 1 served 60}, {@code forget 1}, {@code held 1 h1, 2 h2}; X: it dies; ~ and z: nothing is heard of it),
 * those of {@code hub} what it says, those of {@code hosts} which answer knocks from then on. Cells of homes are what
 * must have been said there since the row before; X: it dies and the next home takes over.
 */
final class Drawing {
    private static final String SERVICE = "s";

    private record Knock(long at, String host) {}

    private final Spec spec;
    private final Laws laws;
    private final Map<String, Seats> homes = new HashMap<>();
    private final Map<String, List<String>> said = new HashMap<>();
    private final List<String> edges = new ArrayList<>();
    private final Map<String, String> grants = new HashMap<>();
    private final Set<String> answering = new HashSet<>();
    private final List<String> needs = new ArrayList<>();
    private final String zone;
    private final List<Knock> knocks = new ArrayList<>();
    private String home;
    private List<String> names;
    private long now;

    Drawing(Spec spec, Laws laws, String zone) {
        this.spec = spec;
        this.laws = laws;
        this.zone = zone;
    }

    void play(String drawing) {
        for (String line : drawing.split("\n")) {
            if (line.isBlank()) {
                continue;
            }
            String[] cells = line.split("\\|", -1);
            for (int i = 0; i < cells.length; i++) {
                cells[i] = cells[i].trim();
            }
            if (names == null) {
                begin(cells);
            } else {
                row(cells, line);
            }
        }
    }

    private void begin(String[] cells) {
        names = List.of(cells);
        for (String name : names.subList(1, names.size())) {
            if (name.startsWith("home")) {
                homes.put(name, new Seats("east", name, laws, new Shell(name)));
                said.put(name, new ArrayList<>());
                if (home == null) {
                    home = name;
                }
            } else if (!name.equals("hub") && !name.equals("hosts")) {
                edges.add(name);
            }
        }
        take(List.of());
        said.get(home).clear();
    }

    private void take(List<String> others) {
        homes.get(home).spec(spec, now);
        homes.get(home).take(SERVICE, zone, others, now);
    }

    private void row(String[] cells, String line) {
        long until = Long.parseLong(cells[0]);
        runUntil(until);
        for (int i = 1; i < cells.length; i++) {
            String name = names.get(i);
            if (!cells[i].isEmpty() && (name.startsWith("home") ? cells[i].equals("X") : true)) {
                for (String word : cells[i].split(";")) {
                    act(name, word.trim().split("[ ,]+"));
                }
            }
        }
        runUntil(until);
        for (int i = 1; i < cells.length; i++) {
            if (names.get(i).startsWith("home") && !cells[i].equals("X")) {
                List<String> heard = said.get(names.get(i));
                String seen = String.join("; ", heard);
                heard.clear();
                if (!seen.equals(cells[i])) {
                    throw new AssertionError(names.get(i) + " at " + until + " ms: drawn '" + cells[i] + "', seen '"
                            + seen + "' in\n" + line);
                }
            }
        }
    }

    private void runUntil(long until) {
        for (long due = nextDue(); due <= until; due = nextDue()) {
            now = Math.max(now, due);
            if (!knocks.isEmpty() && knocks.get(0).at <= now) {
                Knock knock = knocks.remove(0);
                homes.get(home).knocked(knock.host, answering.contains(knock.host), now);
            } else {
                homes.get(home).tick(now);
            }
        }
        now = until;
    }

    private long nextDue() {
        long due = homes.get(home).nextDue();
        return knocks.isEmpty() ? due : Math.min(due, knocks.get(0).at);
    }

    private void act(String name, String[] word) {
        Seats seats = homes.get(home);
        switch (name) {
            case "hub" -> hub(seats, word);
            case "hosts" -> {
                if (word[1].equals("answers")) {
                    answering.add(word[0]);
                } else {
                    answering.remove(word[0]);
                }
            }
            default -> {
                if (name.startsWith("home")) {
                    home = "home" + (Integer.parseInt(name.substring(4)) + 1);
                    take(edges);
                    said.get(home).clear();
                } else {
                    edge(seats, name, word);
                }
            }
        }
    }

    private void hub(Seats seats, String[] word) {
        switch (word[0]) {
            case "hosts" -> {
                List<Host> hosts = new ArrayList<>();
                for (int i = 1; i + 1 < word.length; i += 2) {
                    hosts.add(host(word[i], word[i + 1].equals("up") ? Host.UP : Host.BOOTING, "n" + word[i]));
                }
                seats.hosts(new Hosts(SERVICE, "east", hosts), now);
            }
            case "born" -> {
                String nonce = needs.remove(0);
                seats.born(new Born(nonce, host(word[1], Host.BOOTING, nonce)), now);
            }
            case "noroom" -> seats.noRoom(new NoRoom(needs.remove(0), Integer.parseInt(word[1])), now);
            case "leaving" -> seats.leaving(new Leaving(word[1], SERVICE), now);
            case "gone" -> seats.gone(new Gone(word[1], SERVICE), now);
            default -> throw new IllegalArgumentException(word[0]);
        }
    }

    private static Host host(String id, int state, String nonce) {
        return new Host(id, SERVICE, "at-" + id, "east", "east", "w", nonce, state, state == Host.UP ? 60_000 : 0);
    }

    private void edge(Seats seats, String edge, String[] word) {
        switch (word[0]) {
            case "ask" -> seats.ask(asked(edge, word), false, now);
            case "done" ->
                seats.done(
                        edge,
                        new Done(
                                Long.parseLong(word[1]),
                                grants.get(edge + word[1]),
                                Fate.valueOf(word[2].toUpperCase(Locale.ROOT)),
                                Integer.parseInt(word[3])),
                        now);
            case "forget" -> seats.forget(edge, new Forget(Long.parseLong(word[1]), SERVICE), now);
            case "held" -> {
                List<Grant> held = new ArrayList<>();
                for (int i = 1; i + 1 < word.length; i += 2) {
                    held.add(new Grant(Long.parseLong(word[i]), word[i + 1], "at-" + word[i + 1], false));
                }
                seats.held(new Held(edge, SERVICE, held), now);
            }
            case "X" -> seats.edgeGone(edge, now);
            case "z", "~" -> {}
            default -> throw new IllegalArgumentException(word[0]);
        }
    }

    private static Ask asked(String edge, String[] word) {
        int left = 4000;
        int target = 1000;
        int priority = 1;
        String zone = "east";
        List<String> avoid = new ArrayList<>();
        Set<String> flags = new HashSet<>();
        for (int i = 2; i < word.length; i++) {
            switch (word[i]) {
                case "left" -> left = Integer.parseInt(word[++i]);
                case "target" -> target = Integer.parseInt(word[++i]);
                case "priority" -> priority = Integer.parseInt(word[++i]);
                case "zone" -> zone = word[++i];
                case "avoid" -> avoid.add(word[++i]);
                default -> flags.add(word[i]);
            }
        }
        return new Ask(
                Long.parseLong(word[1]),
                edge,
                zone,
                SERVICE,
                priority,
                left,
                target,
                flags.contains("copy"),
                flags.contains("again"),
                flags.contains("inner"),
                avoid);
    }

    private final class Shell implements Out {
        final String name;

        Shell(String name) {
            this.name = name;
        }

        private void say(String what) {
            said.get(name).add(what);
        }

        @Override
        public void grant(String edge, Grant grant) {
            grants.put(edge + grant.askId(), grant.host());
            say(edge + grant.askId() + " " + grant.host());
        }

        @Override
        public void refuse(String edge, Refuse refuse) {
            say(edge + refuse.askId() + " no " + refuse.comeBackMs());
        }

        @Override
        public void elsewhere(String edge, Elsewhere elsewhere) {
            say(edge + elsewhere.askId() + " to " + elsewhere.zone());
        }

        @Override
        public void need(Need need) {
            if (!needs.contains(need.nonce())) {
                needs.add(need.nonce());
                say("need");
            }
        }

        @Override
        public void quit(Quit quit) {
            say("quit " + quit.id());
        }

        @Override
        public void seen(Seen seen) {}

        @Override
        public void claim(Claim claim) {
            say("claim");
        }

        @Override
        public void knock(String service, String hostId, String address) {
            knocks.add(new Knock(now + 1, hostId));
        }
    }
}
