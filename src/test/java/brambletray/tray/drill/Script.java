package brambletray.tray.drill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * A course's troubles, drawn from its seed or shrunk from another's. All else is drawn from the seed while it plays.
 */
record Script(long seed, int members, int losses, int endMs, List<Trouble> troubles) {
    /**
     * ms that a machine counts as lost after its return (sync-s), and how long a machine that leaves may take
     * (grace-s).
     */
    static final int SYNC = 4_000;

    static final int GRACE = 6_000;
    /** ms before the first trouble, at least. */
    private static final int FIRST = 5_000;

    static Script draw(long seed, int members) {
        SplittableRandom random = new SplittableRandom(mix(seed * 31 + members));
        int losses = members >= 5 && random.nextBoolean() ? 2 : 1;
        int end = 16_000 + random.nextInt(20_000);
        int wanted = 2 + random.nextInt(6);
        List<Trouble> drawn = new ArrayList<>();
        List<int[]> lost = new ArrayList<>();
        int replaced = 0;
        for (int i = 0; i < 4 * wanted && drawn.size() < wanted; i++) {
            Trouble trouble = one(random, end);
            if (!lost.isEmpty() && random.nextInt(3) == 0) {
                // the next loss as soon as the one before counts no more
                trouble = trouble.beginning(lost.get(lost.size() - 1)[1] + random.nextInt(600));
                if (trouble.at() > end) {
                    continue;
                }
            }
            if (trouble.kind() == Trouble.Kind.REPLACE || trouble.kind() == Trouble.Kind.REPLACE_PLANNED) {
                if (replaced == 2) {
                    continue;
                }
                replaced++;
            }
            if (trouble.kind().counted) {
                int[] span = {
                    trouble.at(), trouble.at() + held(trouble), trouble.kind().all() ? 9 : 1
                };
                if (most(lost, span) > losses
                        && !(trouble.kind().all() && most(lost, new int[] {span[0], span[1], 0}) == 0)) {
                    continue;
                }
                lost.add(span);
            }
            drawn.add(trouble);
        }
        drawn.sort(Comparator.comparingInt(Trouble::at));
        return new Script(seed, members, losses, end, drawn);
    }

    /** Neighbouring seeds are to have nothing in common (the last steps of MurmurHash3). */
    static long mix(long seed) {
        long z = (seed ^ seed >>> 33) * 0xff51afd7ed558ccdL;
        z = (z ^ z >>> 33) * 0xc4ceb9fe1a85ec53L;
        return z ^ z >>> 33;
    }

    /** ms for which it counts as a loss. */
    private static int held(Trouble trouble) {
        return switch (trouble.kind()) {
            case REPLACE_PLANNED, LEAVE -> trouble.span() + GRACE + SYNC;
            case AFTER_ACK_KILL, AFTER_ACK_WIPE, AFTER_ACK_ALL -> trouble.span() + SYNC + 4_000;
            default -> trouble.span() + SYNC;
        };
    }

    /** Losses at once, with this one, at the worst moment. */
    private static int most(List<int[]> lost, int[] span) {
        int most = span[2];
        for (int[] at : lost) {
            int moment = Math.max(at[0], span[0]);
            if (at[0] < span[1] && span[0] < at[1]) {
                int sum = span[2];
                for (int[] other : lost) {
                    sum += other[0] <= moment && moment < other[1] ? other[2] : 0;
                }
                most = Math.max(most, sum);
            }
        }
        return most;
    }

    private static Trouble one(SplittableRandom random, int end) {
        Trouble.Kind[] kinds = Trouble.Kind.values();
        Trouble.Kind kind = kinds[random.nextInt(kinds.length)];
        int at = FIRST + random.nextInt(end - FIRST);
        Trouble.Who who = Trouble.Who.values()[random.nextInt(3)];
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
        return new Trouble(kind, at, who, span, random.nextInt(1 << 20));
    }

    Script with(List<Trouble> fewer) {
        return new Script(seed, members, losses, endMs, List.copyOf(fewer));
    }

    Script endingAt(int ms) {
        return new Script(seed, members, losses, ms, troubles);
    }

    @Override
    public String toString() {
        return seed + "/" + members + "/" + losses + "/" + endMs + "/"
                + troubles.stream().map(Trouble::toString).collect(Collectors.joining(","));
    }

    static Script parse(String text) {
        String[] part = text.trim().split("/", -1);
        List<Trouble> troubles = new ArrayList<>();
        for (String one : part[4].split(",")) {
            if (!one.isBlank()) {
                troubles.add(Trouble.parse(one));
            }
        }
        return new Script(
                Long.parseLong(part[0]),
                Integer.parseInt(part[1]),
                Integer.parseInt(part[2]),
                Integer.parseInt(part[3]),
                troubles);
    }
}
