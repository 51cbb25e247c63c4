package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Interprets a timeline table: one column per machine, time in ms downwards. A row at {@code 300} runs at that time; a
 * row at {@code <900} waits until all its expectations hold, at the latest at that time; a row at {@code +200} runs
 * that long after the row above. A cell holds words separated by commas:
 * <pre>
 * ^        start the process            X        kill the process               XX     power loss
 * W        power and disk loss          z500     freeze for 500 ms              ~  ~b  cut off from all, from b
 * ~&gt;b      cut only the link to b       -        restore all links of the machine
 * bye      start a planned shutdown     left     may terminate                  stays  may not terminate yet
 * full     disk refuses writes          hung900  disk hangs for 900 ms          slow90 syncs take 90 ms
 * well     disk works normally again
 * +x       propose x                    ?        request a read index           ?ok    a read index was confirmed
 * X@T      kill before sending the next message of type T; likewise XX@, W@, ~b@
 * X&gt;T      kill after sending it
 * X&lt;T      kill after handling a received one; likewise bye&lt;
 * =x       has applied x                !x       has not applied x
 * ok:x     x was acknowledged           no:x     x was not acknowledged (yet)
 * L M S K  is leader, member, suspended, joining; L2, M3: in a view of that size
 * V1       the view has number 1        .        nothing
 * </pre>
 */
public final class Timeline {
    /** Additional words of a test. */
    public interface AdditionalWords {
        /** Performs the action of a word; returns false if the word is unknown here. */
        boolean act(SimulatedReplica node, String word);

        /** Whether the expectation of a word holds; null if the word is unknown here. */
        Boolean holds(SimulatedReplica node, String word);
    }

    private final SimulatedReplicas world;
    private final Map<String, Long> tokens = new HashMap<>();
    private final AdditionalWords additionalWords;
    private final List<MessageTrigger> triggers = new ArrayList<>();
    private long beginMs;
    private int confirmedReadsBefore;

    private record MessageTrigger(SimulatedReplica node, String action, char when, String messageType) {}

    public Timeline(SimulatedReplicas world, AdditionalWords additionalWords) {
        this.world = world;
        this.additionalWords = additionalWords;
        world.sendFilter = this::onSend;
        world.afterMessage = this::onHandled;
    }

    /** Runs the rows; throws {@link AssertionError} if an expectation does not hold in time. */
    public void run(String table) {
        beginMs = world.now;
        long lastRowMs = 0;
        List<String> columns = null;
        for (String line : table.split("\n")) {
            if (line.isBlank()) {
                continue;
            }
            List<String> cells = List.of(line.trim().split("\\s+"));
            if (columns == null) {
                columns = cells;
                continue;
            }
            String time = cells.get(0);
            boolean isDeadline = time.startsWith("<");
            long rowMs = time.startsWith("+")
                    ? lastRowMs + Long.parseLong(time.substring(1))
                    : Long.parseLong(isDeadline ? time.substring(1) : time);
            if (!isDeadline) {
                world.runUntil(beginMs + rowMs);
            }
            for (int i = 1; i < cells.size(); i++) {
                act(world.nodes.get(columns.get(i - 1)), cells.get(i));
            }
            awaitExpectations(columns, cells, isDeadline ? beginMs + rowMs : world.now, line);
            lastRowMs = isDeadline ? world.now - beginMs : rowMs;
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

    private void end(SimulatedReplica node, String word) {
        if (node.isRunning()) {
            node.kill(word.equals("XX") || word.equals("W"));
        }
        if (word.equals("W")) {
            node.wipe();
        }
    }

    private void cut(SimulatedReplica node, String target) {
        if (target.startsWith(">")) {
            world.setOneWayCut(node.address, target.substring(1), true);
        } else if (!target.isEmpty()) {
            world.setCut(node.address, target, true);
        } else {
            world.nodes.keySet().forEach(other -> world.setCut(node.address, other, true));
        }
    }

    private boolean onSend(SimulatedReplica from, String to, Object frame) {
        MessageTrigger trigger = findTrigger(from, '@', frame);
        if (trigger != null) {
            triggers.remove(trigger);
            act(from, trigger.action, ' ');
            return false;
        }
        MessageTrigger triggerAfterSend = findTrigger(from, '>', frame);
        if (triggerAfterSend != null) {
            triggers.remove(triggerAfterSend);
            world.schedule(world.now, () -> act(from, triggerAfterSend.action, ' '));
        }
        return true;
    }

    private void onHandled(SimulatedReplica node, Object frame) {
        MessageTrigger trigger = findTrigger(node, '<', frame);
        if (trigger == null) {
            return;
        }
        triggers.remove(trigger);
        act(node, trigger.action, ' ');
    }

    private MessageTrigger findTrigger(SimulatedReplica node, char when, Object frame) {
        for (MessageTrigger trigger : triggers) {
            if (trigger.node == node
                    && trigger.when == when
                    && trigger.messageType.equals(frame.getClass().getSimpleName())) {
                return trigger;
            }
        }
        return null;
    }

    private void awaitExpectations(List<String> columns, List<String> cells, long limit, String line) {
        while (true) {
            String unmet = unmetExpectation(columns, cells);
            if (unmet == null) {
                return;
            }
            if (world.now >= limit) {
                world.ruleChecker.fail("expectation not met: " + unmet + " in the row: " + line.trim());
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
        Boolean additional = additionalWords.holds(node, word);
        if (additional != null) {
            return additional;
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
            throw new IllegalArgumentException("no proposal named " + name);
        }
        return "c" + tokens.get(name);
    }
}
