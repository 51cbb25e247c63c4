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
    public interface AdditionalWords {
        /** Acts on a word; false if it isn't one. */
        boolean act(SimulatedReplica node, String word);

        /** Whether what the word says is seen; null if it isn't a word. */
        Boolean holds(SimulatedReplica node, String word);
    }

    private final SimulatedReplicas world;
    private final Map<String, Long> tokens = new HashMap<>();
    private final AdditionalWords additionalWords;
    private final List<MessageTrigger> triggers = new ArrayList<>();
    private long beginMs;
    private int confirmedReadsBefore;

    private record MessageTrigger(SimulatedReplica node, String action, char when, String messageType) {}

    public Timeline(SimulatedReplicas world, AdditionalWords more) {
        this.world = world;
        this.additionalWords = more;
        world.sendFilter = this::onSend;
        world.afterMessage = this::onHandled;
    }

    /** Plays the rows; throws AssertionError where something isn't seen. */
    public void run(String drawn) {
        beginMs = world.now;
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
                world.runUntil(beginMs + at);
            }
            for (int i = 1; i < cells.size(); i++) {
                act(world.nodes.get(columns.get(i - 1)), cells.get(i));
            }
            awaitExpectations(columns, cells, by ? beginMs + at : world.now, line);
            last = by ? world.now - beginMs : at;
        }
    }

    private void act(SimulatedReplica node, String cell) {
        for (String word : cell.split(",")) {
            if (word.equals(".") || !additionalWords.act(node, word)) {
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
            triggers.add(new MessageTrigger(node, word.substring(0, at), word.charAt(at), word.substring(at + 1)));
        } else if (word.equals("^")) {
            node.start();
        } else if (word.equals("X") || word.equals("XX") || word.equals("W")) {
            end(node, word);
        } else if (word.startsWith("z")) {
            node.frozenUntil = world.now + number(word, 1);
        } else if (word.startsWith("~")) {
            cut(node, word.substring(1));
        } else if (word.equals("-")) {
            world.nodes.keySet().forEach(other -> world.setCut(node.address, other, false));
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
            confirmedReadsBefore = world.ruleChecker.confirmedReads;
            world.ruleChecker.requestReadIndex(node);
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
            world.setOneWayCut(node.address, from.substring(1), true);
        } else if (!from.isEmpty()) {
            world.setCut(node.address, from, true);
        } else {
            world.nodes.keySet().forEach(other -> world.setCut(node.address, other, true));
        }
    }

    private boolean onSend(SimulatedReplica from, String to, Object frame) {
        MessageTrigger trap = findTrigger(from, '@', frame);
        if (trap != null) {
            triggers.remove(trap);
            act(from, trap.action, ' ');
            return false;
        }
        MessageTrigger later = findTrigger(from, '>', frame);
        if (later != null) {
            triggers.remove(later);
            world.schedule(world.now, () -> act(from, later.action, ' '));
        }
        return true;
    }

    private void onHandled(SimulatedReplica node, Object frame) {
        MessageTrigger trap = findTrigger(node, '<', frame);
        if (trap == null) {
            return;
        }
        triggers.remove(trap);
        act(node, trap.action, ' ');
    }

    private MessageTrigger findTrigger(SimulatedReplica node, char when, Object frame) {
        for (MessageTrigger trap : triggers) {
            if (trap.node == node
                    && trap.when == when
                    && trap.messageType.equals(frame.getClass().getSimpleName())) {
                return trap;
            }
        }
        return null;
    }

    private void awaitExpectations(List<String> columns, List<String> cells, long limit, String line) {
        while (true) {
            String missing = unmetExpectation(columns, cells);
            if (missing == null) {
                return;
            }
            if (world.now >= limit) {
                world.ruleChecker.fail("not seen: " + missing + " in the row: " + line.trim());
            }
            world.runUntil(world.now + 5);
        }
    }

    private String unmetExpectation(List<String> columns, List<String> cells) {
        for (int i = 1; i < cells.size(); i++) {
            for (String word : cells.get(i).split(",")) {
                if (!holds(world.nodes.get(columns.get(i - 1)), word)) {
                    return columns.get(i - 1) + " " + word;
                }
            }
        }
        return null;
    }

    private boolean holds(SimulatedReplica node, String word) {
        Boolean other = additionalWords.holds(node, word);
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
            return world.ruleChecker.confirmedReads > confirmedReadsBefore;
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
