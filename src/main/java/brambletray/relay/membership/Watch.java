package brambletray.relay.membership;

import brambletray.common.runtime.Machine;
import brambletray.relay.wire.Wire;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The watch of a discovery agent's list: the whole of it first, then what changes. One thread. */
public final class Watch {
    private static final Logger LOG = LoggerFactory.getLogger(Watch.class);
    /** ms; how long a watch may wait, its answer is awaited past that, and the gap after a failure. */
    private static final long WAIT = 20_000;

    private static final long WAIT_SLACK = 2_000;
    private static final long AGAIN = 100;

    /** Who takes the lists in. */
    public interface Taker {
        /** The version of the list held; below 0 before the first. */
        long version();

        /** A list, or its changes since {@link #version}. */
        void take(Wire.Fields list) throws Wire.Malformed;
    }

    private final Machine machine;
    private final Taker taker;
    private AgentLine line;
    /** The next call, where it waits for a gap to pass. */
    private Future<?> due;
    /** The next list must be a whole one: versions of one agent mean nothing to another. */
    private boolean wantsWhole;

    private boolean silent;

    public Watch(Machine machine, InetSocketAddress agent, Taker taker) {
        this.machine = machine;
        this.taker = taker;
        this.line = new AgentLine(machine, agent);
    }

    /** The agent is elsewhere: what was asked at the old address is dropped, and asked at the new one. */
    void move(InetSocketAddress agent) {
        line.drop();
        line = new AgentLine(machine, agent);
        silent = false;
        wantsWhole = true;
        if (due != null) {
            due.cancel(false);
        }
        begin();
    }

    /** Asks for nothing more. */
    void end() {
        line.drop();
        if (due != null) {
            due.cancel(false);
        }
    }

    /** Asks for what is newer than the list held; the next call follows the answer at once. */
    public void begin() {
        boolean whole = taker.version() < 0 || wantsWhole;
        String query = whole ? "" : "?after=" + taker.version() + "&wait_ms=" + WAIT;
        line.ask(HttpMethod.GET, "/v1/servers" + query, "", WAIT + WAIT_SLACK, answer -> {
            try {
                if (answer != null && answer.status().code() == 200) {
                    taker.take(Wire.decode(answer.content().toString(StandardCharsets.UTF_8)));
                    silent = false;
                    wantsWhole = false;
                    begin();
                    return;
                }
                complain("discovery answered " + (answer == null ? "nothing" : answer.status()), null);
            } catch (Wire.Malformed malformed) {
                complain("discovery's list cannot be read: " + malformed.getMessage(), null);
            } catch (RuntimeException e) {
                // Guards the watch: it must go on whatever the list held.
                complain("discovery's list could not be taken in", e);
            }
            due = machine.loop().schedule(this::begin, AGAIN, TimeUnit.MILLISECONDS);
        });
    }

    /** Once until the watch works again: it asks many times a second. */
    private void complain(String fault, RuntimeException cause) {
        if (!silent) {
            LOG.warn("{}; the list of version {} is kept", fault, taker.version(), cause);
        }
        silent = true;
    }
}
