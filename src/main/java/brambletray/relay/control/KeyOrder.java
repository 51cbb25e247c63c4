package brambletray.relay.control;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Duty;
import brambletray.relay.control.State.Key;
import brambletray.relay.control.State.Msg;

/** Order of messages that share a key: as they were taken on, one at a time. */
record KeyOrder(Settings set, Memory memory, Turn turn) {
    void join(Msg m, String name) {
        m.key = memory.keys.computeIfAbsent(name, k -> new Key());
        m.key.name = name;
        m.key.line.addLast(m);
    }

    /** True while what went before it may still be under way. */
    static boolean rests(Msg m, long now) {
        return m.key != null && m.key.restUntil > now && m.attempts.isEmpty();
    }

    /** Guards the order against a call that nobody waits for any more: it may yet arrive. */
    void rest(Msg m) {
        if (m.key != null) {
            m.key.restUntil = turn.now + set.rules().keyRest();
        }
    }

    /** The message whose turn it is now, to be queued; null if there is none, or not yet. */
    Msg advance(Key key) {
        Msg head = key.head();
        boolean idle = head == null || !head.ended && !head.queued && head.open == 0;
        if (idle && key.restUntil > turn.now) {
            turn.at(key.restUntil, Duty.KEY, key);
            return null;
        }
        if (head == null) {
            memory.keys.remove(key.name);
        }
        return idle ? head : null;
    }
}
