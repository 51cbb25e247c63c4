package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A drawn timeline: one column a machine, time (ms) downwards. A row at {@code 300} is played at that time; a row at
 * {@code <900} waits until all that it says is seen, at the latest then; a row at {@code +200} comes so long after the
 * row above. Words of a cell, joined by commas:
 * <pre>
 * ^        starts                       X        its process is killed          XX     its machine loses power
 * W        loses power and disk         z500     is frozen for 500 ms           ~  ~b  is cut from all, from b
 * ~&gt;b      its frames to b are cut       -        all its links are well again
 * bye      is about to end, as planned          left     may end now               stays  may not end yet
 * full     its disk refuses writes      hung900  its disk hangs for 900 ms      slow90 its disk takes 90 ms      well
 * its disk is well again
 * +x       proposes x                   ?        asks whether it reads the newest
 * X@Stop   is killed as it is about to send its next Stop; XX@, W@, ~b@ likewise; X&gt;Stop: once it is sent;
 * X&lt;Told: once it has
 *          heard one; bye&lt; likewise
 * =x       has x                        !x       hasn't x                       ok:x   x was acknowledged        no:x
 * x wasn't (yet)
 * L M S K  leads, is a member, has stopped, knocks; L2, M3: in a view of so many        V1       the view's number is 1
 * .        nothing
 * </pre>
 */
public final class Timeline {
    /** Further words. */
    public interface Words {
        /** Acts on a word; false if it isn't one. */
        boolean act(SimulatedReplica node, String word);

        /** Whether what the word says is seen; null if it isn't a word. */
        Boolean seen(SimulatedReplica node, String word);
    }

    private final SimulatedReplicas world;
    private final Map<String, Long> tokens = new HashMap<>();
    private final Words more;
    private final List<Trap> traps = new ArrayList<>();
    private long begin;
    private int confirms;

    private record Trap(SimulatedReplica node, String how, char when, String frame) {}

    public Timeline(SimulatedReplicas world, Words more) {
        this.world = world;
        this.more = more;
        world.tap = this::pass;
        world.afterMessage = this::heard;
    }

    /** Plays the rows; throws AssertionError where something isn't seen. */
    public void play(String drawn) {
        begin = world.now;
        long last = 0;
        List<String> columns = null;
        for (String line : drawn.split("\n")) {
            if (line.isBlank()) {
                continue;
            }
            List<String> cells = List.of(line.trim().split("\\s+"));
            if (columns == null) {
                columns = cells;
                continue;
            }
            String time = cells.get(0);
            boolean by = time.startsWith("<");
            long at = time.startsWith("+")
                    ? last + Long.parseLong(time.substring(1))
                    : Long.parseLong(by ? time.substring(1) : time);
            if (!by) {
                world.until(begin + at);
            }
            for (int i = 1; i < cells.size(); i++) {
                act(world.nodes.get(columns.get(i - 1)), cells.get(i));
            }
            see(columns, cells, by ? begin + at : world.now, line);
            last = by ? world.now - begin : at;
        }
    }

    private void act(SimulatedReplica node, String cell) {
        for (String word : cell.split(",")) {
            if (word.equals(".") || !more.act(node, word)) {
                act(node, word, ' ');
            }
        }
    }

    private void act(SimulatedReplica node, String word, char none) {
        int at = word.indexOf('@');
        if (at < 0 && word.charAt(0) != '~') {
            at = Math.max(word.indexOf('>'), word.indexOf('<'));
        }
        if (at > 0) {
            traps.add(new Trap(node, word.substring(0, at), word.charAt(at), word.substring(at + 1)));
        } else if (word.equals("^")) {
            node.start();
        } else if (word.equals("X") || word.equals("XX") || word.equals("W")) {
            end(node, word);
        } else if (word.startsWith("z")) {
            node.frozenUntil = world.now + number(word, 1);
        } else if (word.startsWith("~")) {
            cut(node, word.substring(1));
        } else if (word.equals("-")) {
            world.nodes.keySet().forEach(other -> world.cut(node.address, other, false));
        } else if (word.equals("bye")) {
            node.replica.leave(world.now);
        } else if (word.equals("full")) {
            node.disk.full = true;
        } else if (word.startsWith("hung")) {
            node.disk.hungUntil = world.now + number(word, 4);
        } else if (word.startsWith("slow")) {
            node.disk.syncMs = (int) number(word, 4);
        } else if (word.equals("well")) {
            node.disk.full = false;
            node.disk.hungUntil = 0;
            node.disk.syncMs = 5;
        } else if (word.startsWith("+")) {
            tokens.put(word.substring(1), world.ruleChecker.propose(node));
        } else if (word.equals("?")) {
            confirms = world.ruleChecker.confirmedOk;
            world.ruleChecker.confirm(node);
        }
    }

    private static long number(String word, int from) {
        return Long.parseLong(word.substring(from));
    }

    private void end(SimulatedReplica node, String how) {
        if (node.isRunning()) {
            node.kill(how.equals("XX") || how.equals("W"));
        }
        if (how.equals("W")) {
            node.wipe();
        }
    }

    private void cut(SimulatedReplica node, String from) {
        if (from.startsWith(">")) {
            world.one(node.address, from.substring(1), true);
        } else if (!from.isEmpty()) {
            world.cut(node.address, from, true);
        } else {
            world.nodes.keySet().forEach(other -> world.cut(node.address, other, true));
        }
    }

    private boolean pass(SimulatedReplica from, String to, Object frame) {
        Trap trap = trap(from, '@', frame);
        if (trap != null) {
            traps.remove(trap);
            act(from, trap.how, ' ');
            return false;
        }
        Trap later = trap(from, '>', frame);
        if (later != null) {
            traps.remove(later);
            world.later(world.now, () -> act(from, later.how, ' '));
        }
        return true;
    }

    private void heard(SimulatedReplica node, Object frame) {
        Trap trap = trap(node, '<', frame);
        if (trap == null) {
            return;
        }
        traps.remove(trap);
        act(node, trap.how, ' ');
    }

    private Trap trap(SimulatedReplica node, char when, Object frame) {
        for (Trap trap : traps) {
            if (trap.node == node
                    && trap.when == when
                    && trap.frame.equals(frame.getClass().getSimpleName())) {
                return trap;
            }
        }
        return null;
    }

    private void see(List<String> columns, List<String> cells, long limit, String line) {
        while (true) {
            String missing = missing(columns, cells);
            if (missing == null) {
                return;
            }
            if (world.now >= limit) {
                world.ruleChecker.fail("not seen: " + missing + " in the row: " + line.trim());
            }
            world.until(world.now + 5);
        }
    }

    private String missing(List<String> columns, List<String> cells) {
        for (int i = 1; i < cells.size(); i++) {
            for (String word : cells.get(i).split(",")) {
                if (!seen(world.nodes.get(columns.get(i - 1)), word)) {
                    return columns.get(i - 1) + " " + word;
                }
            }
        }
        return null;
    }

    private boolean seen(SimulatedReplica node, String word) {
        Boolean other = more.seen(node, word);
        if (other != null) {
            return other;
        }
        if (word.startsWith("ok:")) {
            return world.ruleChecker.acknowledged.contains(text(word.substring(3)));
        }
        if (word.startsWith("no:")) {
            return !world.ruleChecker.acknowledged.contains(text(word.substring(3)));
        }
        if (word.startsWith("=")) {
            return node.state.contains(text(word.substring(1)));
        }
        if (word.startsWith("!")) {
            return !node.state.contains(text(word.substring(1)));
        }
        if (word.equals("left") || word.equals("stays")) {
            return node.replica.mayTerminate() == word.equals("left");
        }
        if (word.equals("?ok")) {
            return world.ruleChecker.confirmedOk > confirms;
        }
        if (!word.matches("[LMSKV]\\d?")) {
            return true;
        }
        if (!node.isRunning()) {
            return false;
        }
        ReplicaStatus status = node.replica.status();
        if (word.startsWith("V")) {
            return status.viewNumber() == number(word, 1);
        }
        if (word.length() > 1 && status.members().size() != word.charAt(1) - '0') {
            return false;
        }
        return switch (word.charAt(0)) {
            case 'L' -> status.isLeader();
            case 'M' -> status.role() == ReplicaRole.MEMBER;
            case 'S' -> status.role() == ReplicaRole.SUSPENDED;
            default -> status.role() == ReplicaRole.JOINING;
        };
    }

    private String text(String name) {
        if (!tokens.containsKey(name)) {
            throw new IllegalArgumentException("nobody proposed " + name);
        }
        return "c" + tokens.get(name);
    }
}
