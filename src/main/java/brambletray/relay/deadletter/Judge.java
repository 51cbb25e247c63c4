package brambletray.relay.deadletter;

import brambletray.relay.deadletter.ClassRules.Effect;
import java.util.List;

/**
 * May a kept message be sent again? From its class, its history and what is known of time; pure.
 *
 * <p>Never ran: yes. Safe: yes. Keyed: while the key's window has {@link #MARGIN} left, reckoned from the
 * first send that may have run; the redrive carries that history, and the module holds each attempt to the
 * window and the zone. Keyed past it, and unsafe that may have run: not without proof. A proof that it was
 * not done clears the history; it counts only for sends made, and ends noted, before it was given.
 */
public final class Judge {
    /** ms of a key's window that must be left when a redrive begins: less is gone before it is sent. */
    public static final long MARGIN = 1_000;

    /** A person's word that no send up to {@code at} (Unix ms) took effect. */
    public record NotDone(String by, String reason, long at) {}

    private Judge() {}

    /**
     * {@code proof} null for none; {@code now}, {@code epoch}: of the wall clock; {@code toDestination}:
     * where it would go.
     */
    public static Judgement judge(KeptMessage keptMessage, long toDestination, NotDone proof, long now, int epoch) {
        List<Send> ran = keptMessage.perhapsRun();
        boolean proven = proof != null
                && keptMessage.ended() <= proof.at()
                && ran.stream().allMatch(send -> send.sent() <= proof.at());
        if (ran.isEmpty() && !keptMessage.doubtful()) {
            return new Judgement.May("none of its " + keptMessage.sends().size() + " sends ran", List.of());
        }
        if (proven) {
            return new Judgement.May(proof.by() + " says that it was not done: " + proof.reason(), List.of());
        }
        String stale = proof == null ? "" : "; the word of " + proof.by() + " is older than its last send";
        if (keptMessage.rules().effect() == Effect.SAFE) {
            return new Judgement.May("its class may be repeated", ran);
        }
        if (keptMessage.rules().effect() == Effect.UNSAFE) {
            return new Judgement.NeedsProof("it may have run, and its class must never take effect twice" + stale);
        }
        if (keptMessage.key() == null) {
            return new Judgement.NeedsProof("it may have run, and has no key for partners to know it by" + stale);
        }
        if (toDestination != keptMessage.destination()) {
            return new Judgement.NeedsProof("it may have run at destination " + keptMessage.destination()
                    + ", whose keys destination " + toDestination + " does not know" + stale);
        }
        if (keptMessage.doubtful()) {
            return new Judgement.NeedsProof("records of it may be missing: when it was sent is not known" + stale);
        }
        if (keptMessage.epoch() != epoch || now < keptMessage.ended()) {
            return new Judgement.NeedsProof("the clock has been set back since: its key's age is not known" + stale);
        }
        long first = ran.stream().mapToLong(Send::sent).min().orElse(now);
        long left = first + keptMessage.rules().window() - now;
        if (left < MARGIN) {
            return new Judgement.NeedsProof(
                    "it may have run " + (now - first) + " ms ago, and its key is remembered for "
                            + keptMessage.rules().window() + " ms" + stale);
        }
        return new Judgement.May("its key is remembered for another " + left + " ms", ran);
    }
}
