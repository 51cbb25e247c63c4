package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * A course's troubles, drawn from its seed or shrunk from another's. All else is drawn from the seed while it plays.
 */
record ScenarioScript(long seed, int members, int losses, int endMs, List<Fault> faults) {
    /**
     * ms that a machine counts as lost after its return (sync-s), and how long a machine that leaves may take
     * (grace-s).
     */
    static final int SYNC = 4_000;

    static final int GRACE = 6_000;
    /** ms before the first trouble, at least. */
    private static final int FIRST = 5_000;
    /** ms; the longest course that is read. */
    static final int END_MOST = 600_000;

    static ScenarioScript draw(long seed, int members) {
        SplittableRandom random = new SplittableRandom(mix(seed * 31 + members));
        int losses = members >= 5 && random.nextBoolean() ? 2 : 1;
        int end = 16_000 + random.nextInt(20_000);
        int wanted = 2 + random.nextInt(6);
        List<Fault> drawn = new ArrayList<>();
        List<Loss> lost = new ArrayList<>();
        int replaced = 0;
        for (int i = 0; i < 4 * wanted && drawn.size() < wanted; i++) {
            Fault fault = one(random, end);
            if (!lost.isEmpty() && random.nextInt(3) == 0) {
                // the next loss as soon as the one before counts no more
                fault = fault.beginning(lost.get(lost.size() - 1).untilMs() + random.nextInt(600));
                if (fault.atMs() > end) {
                    continue;
                }
            }
            if (fault.kind() == Fault.Kind.REPLACE || fault.kind() == Fault.Kind.REPLACE_PLANNED) {
                if (replaced == 2) {
                    continue;
                }
                replaced++;
            }
            if (fault.kind().counted) {
                Loss loss = Loss.of(fault);
                boolean all = fault.kind().all();
                if (most(lost, loss) > losses && !(all && most(lost, loss.ofMachines(0)) == 0)) {
                    continue;
                }
                lost.add(loss);
            }
            drawn.add(fault);
        }
        drawn.sort(Comparator.comparingInt(Fault::atMs));
        return new ScenarioScript(seed, members, losses, end, drawn);
    }

    /** Neighbouring seeds are to have nothing in common (the last steps of MurmurHash3). */
    static long mix(long seed) {
        long z = (seed ^ seed >>> 33) * 0xff51afd7ed558ccdL;
        z = (z ^ z >>> 33) * 0xc4ceb9fe1a85ec53L;
        return z ^ z >>> 33;
    }

    /** Machines that count as lost for a span of the course, ms from its start. */
    private record Loss(int fromMs, int untilMs, int machines) {
        /** More than any course may lose. */
        private static final int ALL = 9;

        static Loss of(Fault fault) {
            int machines = fault.kind().all() ? ALL : 1;
            return new Loss(fault.atMs(), fault.atMs() + held(fault), machines);
        }

        Loss ofMachines(int count) {
            return new Loss(fromMs, untilMs, count);
        }

        boolean meets(Loss other) {
            return fromMs < other.untilMs && other.fromMs < untilMs;
        }

        boolean lastsAt(int moment) {
            return fromMs <= moment && moment < untilMs;
        }

        /** ms for which it counts as a loss. */
        private static int held(Fault fault) {
            return switch (fault.kind()) {
                case REPLACE_PLANNED, LEAVE -> fault.durationMs() + GRACE + SYNC;
                case AFTER_ACK_KILL, AFTER_ACK_WIPE, AFTER_ACK_ALL -> fault.durationMs() + SYNC + 4_000;
                default -> fault.durationMs() + SYNC;
            };
        }
    }

    /** Machines lost at once, with this loss, at the worst moment. */
    private static int most(List<Loss> lost, Loss added) {
        int most = added.machines();
        for (Loss loss : lost) {
            if (loss.meets(added)) {
                int moment = Math.max(loss.fromMs(), added.fromMs());
                int sum = added.machines();
                for (Loss other : lost) {
                    sum += other.lastsAt(moment) ? other.machines() : 0;
                }
                most = Math.max(most, sum);
            }
        }
        return most;
    }

    private static Fault one(SplittableRandom random, int end) {
        Fault.Kind[] kinds = Fault.Kind.values();
        Fault.Kind kind = kinds[random.nextInt(kinds.length)];
        int at = FIRST + random.nextInt(end - FIRST);
        Fault.Target who = Fault.Target.values()[random.nextInt(3)];
        int span = switch (kind) {
            case CUT_CORE, CUT_ALL, CUT_OUT, CUT_IN ->
                random.nextInt(3) == 0 ? 200 + random.nextInt(4_000) : 15_000 + random.nextInt(8_000);
            case FREEZE -> random.nextInt(3) == 0 ? 10_000 + random.nextInt(10_000) : 200 + random.nextInt(4_000);
            case SLOW_DISK -> 2_000 + random.nextInt(15_000);
            case HUNG_DISK, FULL_DISK -> 300 + random.nextInt(6_000);
            case ALL_KILL, ALL_POWER, AFTER_ACK_ALL -> 100 + random.nextInt(1_500);
            case REPLACE -> random.nextInt(8_000);
            case REPLACE_PLANNED -> 300 + random.nextInt(5_000);
            case BURST -> 300;
            case RESET -> 1;
            case SLOW_LINK -> 1_000 + random.nextInt(8_000);
            case ANSWERS_LOST -> 300 + random.nextInt(3_000);
            case EDGE_CUT, EDGE_FREEZE -> 500 + random.nextInt(10_000);
            case KILL, POWER, WIPE ->
                random.nextInt(4) == 0 ? 5_000 + random.nextInt(15_000) : 200 + random.nextInt(3_000);
            default -> 200 + random.nextInt(3_000);
        };
        return new Fault(kind, at, who, span, random.nextInt(1 << 20));
    }

    ScenarioScript with(List<Fault> fewer) {
        return new ScenarioScript(seed, members, losses, endMs, List.copyOf(fewer));
    }

    ScenarioScript endingAt(int ms) {
        return new ScenarioScript(seed, members, losses, ms, faults);
    }

    @Override
    public String toString() {
        return seed + "/" + members + "/" + losses + "/" + endMs + "/"
                + faults.stream().map(Fault::toString).collect(Collectors.joining(","));
    }

    /** Reads SEED/MEMBERS/LOSSES/END-MS/TROUBLES; {@link InvalidDrillException} where it is none. */
    static ScenarioScript parse(String text) {
        String[] part = text.trim().split("/", -1);
        if (part.length != 5) {
            throw new InvalidDrillException(
                    "course: expected SEED/MEMBERS/LOSSES/END-MS/TROUBLES, found '" + text + "'");
        }
        int members = number("members", part[1], DrillPlan.MEMBERS_LEAST, DrillPlan.MEMBERS_MOST);
        int losses = number("losses", part[2], 0, members - 1);
        int endMs = number("end", part[3], 1, END_MOST);
        List<Fault> faults = new ArrayList<>();
        for (String one : part[4].split(",")) {
            if (!one.isBlank()) {
                faults.add(Fault.parse(one));
            }
        }
        return new ScenarioScript(seed(part[0]), members, losses, endMs, faults);
    }

    /** A seed, from 0; {@link InvalidDrillException} where it is none. */
    static long seed(String text) {
        if (!text.matches("\\d{1,18}")) {
            throw new InvalidDrillException("course: seed: expected a number from 0, found '" + text + "'");
        }
        return Long.parseLong(text);
    }

    /** A field of a script; {@link InvalidDrillException} where it is no number of this range. */
    static int number(String field, String text, int least, int most) {
        int value = text.matches("\\d{1,9}") ? Integer.parseInt(text) : -1;
        if (value < least || value > most) {
            throw new InvalidDrillException("course: " + field + ": expected a number from " + least + " to " + most
                    + ", found '" + text + "'");
        }
        return value;
    }
}
