package brambletray.relay.control;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Message;
import brambletray.relay.control.State.OrderingKey;
import brambletray.relay.control.State.TimerKind;

/** Sends messages that share a key one at a time, in the order of acceptance. */
record KeyOrder(Settings settings, Memory memory, Turn turn) {
    void enqueue(Message message, String name) {
        message.key = memory.keys.computeIfAbsent(name, k -> new OrderingKey());
        message.key.name = name;
        message.key.queue.addLast(message);
    }

    /** True while an earlier call of its key that was abandoned may still arrive. */
    static boolean inQuietPeriod(Message message, long now) {
        return message.key != null && message.key.quietUntil > now && message.attempts.isEmpty();
    }

    /** Holds the key back after an abandoned call, which may still arrive and would break the order. */
    void startQuietPeriod(Message message) {
        if (message.key != null) {
            message.key.quietUntil = turn.now + settings.rules().keyRest();
        }
    }

    /** The next message of a key, to be queued; null if there is none or the quiet period has not passed. */
    Message advance(OrderingKey key) {
        Message head = key.head();
        boolean idle = head == null || !head.isEnded && !head.isQueued && head.openAttempts == 0;
        if (idle && key.quietUntil > turn.now) {
            turn.schedule(key.quietUntil, TimerKind.RELEASE_KEY, key);
            return null;
        }
        if (head == null) {
            memory.keys.remove(key.name);
        }
        return idle ? head : null;
    }
}
