package brambletray.relay.deadletter;

import java.util.List;

/** Whether a kept message may be sent again, with the reason in words. */
public sealed interface Judgement {
    String why();

    /** It may; {@code history}: sends that bind the new one, for the module to judge each attempt by. */
    record May(String why, List<Send> history) implements Judgement {}

    /** Not without a word that no earlier send took effect. */
    record NeedsProof(String why) implements Judgement {}

    /** Not at all. */
    record Never(String why) implements Judgement {}
}
