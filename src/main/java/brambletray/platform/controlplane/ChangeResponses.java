package brambletray.platform.controlplane;

import brambletray.platform.configuration.ChangeDecision;
import brambletray.platform.logging.EventLog;

/** What an operator is answered about a configuration change that was decided. */
final class ChangeResponses {
    private static final EventLog LOG = EventLog.of("controlplane");
    private static final byte[] EMPTY_JSON_OBJECT = {'{', '}'};

    private ChangeResponses() {}

    /** 200 with an empty object. */
    static void acknowledge(ControlCall call) {
        call.respond(200, EMPTY_JSON_OBJECT);
    }

    /** 400 where the change is invalid, 412 where its base is stale, 503 where that is not remembered, else 200. */
    static void respond(ControlCall call, ChangeDecision decision) {
        if (decision instanceof ChangeDecision.Invalid invalid) {
            LOG.info("configuration-change-rejected")
                    .with("code", invalid.error().code())
                    .with("why", invalid.error().getMessage())
                    .log();
            call.reject(400, invalid.error().code(), invalid.error().getMessage());
        } else if (decision instanceof ChangeDecision.Stale stale) {
            LOG.info("configuration-change-rejected")
                    .with("code", "controlplane.stale")
                    .with("base", call.baseRevision())
                    .with("current", stale.currentRevision())
                    .log();
            call.reject(412, "controlplane.stale", "the current revision is " + stale.currentRevision());
        } else if (decision instanceof ChangeDecision.HistoryExpired expired) {
            call.reject(
                    503,
                    "controlplane.forgotten",
                    "what was taken before revision " + expired.oldestRevision()
                            + " isn't remembered; look at the configuration");
        } else {
            acknowledge(call);
        }
    }

    /** 503: other changes are in the way. */
    static void rejectBusy(ControlCall call) {
        call.reject(503, "controlplane.busy", "other changes are under way, or no leader is known");
    }
}
