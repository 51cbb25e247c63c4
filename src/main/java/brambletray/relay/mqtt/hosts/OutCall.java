package brambletray.relay.mqtt.hosts;

import brambletray.common.runtime.Clock;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.core.CallReply;
import brambletray.relay.core.HostTransport;
import brambletray.relay.message.Message;
import io.netty.util.concurrent.Future;
import java.util.function.Consumer;

/** One call, from when it was asked for until its reply. */
final class OutCall implements HostTransport.Call {
    final PartnerLine line;
    final Message message;
    private final Clock clock;
    private final Consumer<CallReply> whenEnded;
    private final long began;
    private final long until;
    Future<?> timer;
    /** The last byte has been handed to a socket: from then on it may run. */
    boolean written;

    boolean reused;
    /** Under which it is out; 0 for none. */
    int packet;

    private boolean ended;

    /** {@code patience}: us. */
    OutCall(PartnerLine line, Message message, Clock clock, long patience, Consumer<CallReply> whenEnded) {
        this.line = line;
        this.message = message;
        this.clock = clock;
        this.whenEnded = whenEnded;
        this.began = clock.nanos();
        this.until = began + patience * 1_000;
    }

    long leftMs() {
        return (until - clock.nanos()) / 1_000_000;
    }

    boolean ended() {
        return ended;
    }

    /** MQTT cannot take a PUBLISH back: the partner may act on it all the same. */
    @Override
    public void cancel() {
        end(Outcome.CANCELLED);
    }

    void giveUp() {
        boolean silent = written && !ended;
        end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        if (silent) {
            line.unanswered();
        }
    }

    /** It can't be learnt what became of it. */
    void lost() {
        end(written ? Outcome.RESET : Outcome.CONNECT_RESET);
    }

    void end(Outcome outcome) {
        end(outcome, 0);
    }

    /** {@code wait}: told by the partner; us. */
    void end(Outcome outcome, long wait) {
        if (!ended) {
            ended = true;
            timer.cancel(false);
            line.forget(this);
            whenEnded.accept(new CallReply(
                    outcome, outcome == Outcome.OK, wait, (clock.nanos() - began) / 1_000, -1, -1, reused));
        }
    }
}
