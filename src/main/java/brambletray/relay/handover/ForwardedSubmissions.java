package brambletray.relay.handover;

import brambletray.relay.core.MessageReceiver;
import brambletray.relay.core.SubmissionResult;
import brambletray.relay.message.Message;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Messages that clients handed in here while another process owns: each waits for its answer. One whose
 * answer is lost with its owner is handed in again to whoever owns then: it is found in the journal if it was
 * taken, and was not sent before its answer was out if it is not there.
 */
final class ForwardedSubmissions {
    /** That wait at once; more are turned away. */
    static final int MOST = 2_000;
    /** us; when those come again. */
    private static final long COME_BACK = 1_000_000;

    private record Waiting(Message message, SubmissionResult answer) {}

    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private long last;

    /** Takes one in; the frame that asks the owner, null where it was turned away. */
    HandoverFrame.Submit submit(Message message, SubmissionResult answer) {
        if (waiting.size() >= MOST) {
            answer.refused(COME_BACK);
            return null;
        }
        waiting.put(++last, new Waiting(message, answer));
        return new HandoverFrame.Submit(last, message);
    }

    /** All that wait, as frames, in the order in which they came: for an owner that has not had them. */
    List<HandoverFrame.Submit> all() {
        List<HandoverFrame.Submit> all = new ArrayList<>();
        waiting.forEach((number, w) -> all.add(new HandoverFrame.Submit(number, w.message())));
        return all;
    }

    /** The owner has answered; {@code own}: who takes what it sent back, null while nobody here owns. */
    void answered(HandoverFrame.Answered told, MessageReceiver own) {
        Waiting w = told.met() == HandoverFrame.Met.BOUNCED && own == null ? null : waiting.remove(told.number());
        if (w == null) {
            return;
        }
        switch (told.met()) {
            case TAKEN -> w.answer().accepted();
            case HELD -> w.answer().duplicate();
            case CONFLICT -> w.answer().conflict();
            case REFUSED -> w.answer().refused(told.retryAfter());
            case FAILED -> w.answer().failed();
            case BOUNCED -> own.accept(w.message(), w.answer());
        }
    }

    /** This process owns now, and the one that was asked is gone: all that wait are handed in here. */
    void handIn(MessageReceiver own) {
        List<Waiting> all = List.copyOf(waiting.values());
        waiting.clear();
        all.forEach(w -> own.accept(w.message(), w.answer()));
    }
}
