package brambletray.relay.control;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Message;
import brambletray.relay.control.State.OrderingKey;
import brambletray.relay.control.State.TimerKind;

/** Order of messages that share a key: as they were taken on, one at a time. */
record KeyOrder(Settings settings, Memory memory, Turn turn) {
    void enqueue(Message message, String name) {
        message.key = memory.keys.computeIfAbsent(name, k -> new OrderingKey());
        message.key.name = name;
        message.key.queue.addLast(message);
    }

    /** True while what went before it may still be under way. */
    static boolean inQuietPeriod(Message message, long now) {
        return message.key != null && message.key.quietUntil > now && message.attempts.isEmpty();
    }

    /** Guards the order against a call that nobody waits for any more: it may yet arrive. */
    void startQuietPeriod(Message message) {
        if (message.key != null) {
            message.key.quietUntil = turn.now + settings.rules().keyRest();
        }
    }

    /** The message whose turn it is now, to be queued; null if there is none, or not yet. */
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
