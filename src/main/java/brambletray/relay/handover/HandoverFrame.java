package brambletray.relay.handover;

import brambletray.relay.core.CallReply;
import brambletray.relay.core.HandoverState;
import brambletray.relay.message.Message;
import java.util.List;
import java.util.Map;

/** What two processes of one relay tell one another; the form on the wire is {@link HandoverFrameCodec}'s. */
sealed interface HandoverFrame {
    /** How a message that was handed in through the other process was met. */
    enum Met {
        TAKEN,
        HELD,
        CONFLICT,
        REFUSED,
        FAILED,
        /** The one asked does not own any more. */
        BOUNCED
    }

    /** First, by the new process; {@code settings}: a digest, alike only where both mean the same. */
    record Hello(int version, String settings) implements HandoverFrame {}

    /** There is a place for it. {@code avoided}: listed hosts that get no ordinary traffic. */
    record Welcome(boolean drained, int avoided) implements HandoverFrame {}

    /** There is none. */
    record TurnedAway(String why) implements HandoverFrame {}

    /** A message that a client handed in at the process that does not own. */
    record Submit(long number, Message message) implements HandoverFrame {}

    /** The answer to {@link Submit}; {@code retryAfter}: us. */
    record Answered(long number, Met met, long retryAfter) implements HandoverFrame {}

    /** The client of a submitted message did not hear that it was taken on. */
    record Withdraw(String id) implements HandoverFrame {}

    /** An operator's call about a host. */
    record Exclude(long number, String host, boolean out) implements HandoverFrame {}

    /** The answer to {@link Exclude}. */
    record Told(long number, int status, String text) implements HandoverFrame {}

    /** Operators drain the relay, or end that, by a call to the other process. */
    record Drained(boolean away) implements HandoverFrame {}

    /** All that is handed on. {@code memory}: {@link MemoryCodec}'s. */
    record State(long time, long unix, Map<String, Long> numbers, List<HandoverState.CallInFlight> outs, byte[] memory)
            implements HandoverFrame {}

    /** The sender owns the folder; {@code careful}: nothing that was handed on is used. */
    record Owner(boolean careful) implements HandoverFrame {}

    /** The sender could not take the folder over. */
    record Declined() implements HandoverFrame {}

    /** The sender has taken the folder back: what it handed on is void. */
    record Kept() implements HandoverFrame {}

    /** A call that stayed with the sender has its reply. */
    record Ended(String id, int attempt, String host, CallReply reply) implements HandoverFrame {}

    /** A call that stayed with the other process is to be cancelled. */
    record Cancel(String id, int attempt) implements HandoverFrame {}

    /** Calls to this host that stayed there, and of which no byte is out, are to be taken back. */
    record TakeBack(String host) implements HandoverFrame {}
}
