package brambletray.relay.stage;

import brambletray.relay.script.Script;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;

/** A way in: hands in at relays, over one protocol, what the crowd's clients want delivered. One thread. */
interface Clients {
    /**
     * One message to hand in, and what becomes of that; one of the three is told, once.
     *
     * @param retried null at the first try; else "1" after a refusal, "again" after no answer
     * @param left time that is left for it; ms
     */
    record Handed(
            String id,
            String line,
            long destination,
            Script.MessageClass messageClass,
            int relay,
            String retried,
            LongSupplier left,
            Heard heard) {
        /** Null for a class without keys. */
        String key() {
            return messageClass.effect().equals("keyed") ? "key-" + line : null;
        }
    }

    /** What a client hears of one message that it handed in. */
    interface Heard {
        void taken();

        /** {@code again}: it may come again, after {@code advice} ms if that is told (0: not told). */
        void refused(boolean again, long advice);

        /** No answer, and the client does not wait any longer. */
        void left();
    }

    /** A relay that may be handed messages, by its number; also when it has moved. */
    void relay(int number, InetSocketAddress address);

    void handIn(Handed message);

    void stop();
}
