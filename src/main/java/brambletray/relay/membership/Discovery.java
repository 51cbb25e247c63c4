package brambletray.relay.membership;

import brambletray.common.runtime.Machine;
import brambletray.relay.control.Relay;
import brambletray.relay.core.Platform;
import brambletray.relay.journal.Journal;
import brambletray.relay.wire.Wire;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The platform's agent: watches the list of hosts and posts notices. One thread. */
public final class Discovery implements Platform {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    private static final JsonFactory JSON = new JsonFactory();
    /** ms; a notice not acknowledged within this is posted again; gap between tries. */
    private static final long NOTICE_PATIENCE = 2_000;

    private static final long AGAIN = 100;

    private static final int NOTICES_MOST = 100;

    private final Machine machine;
    private final EventLoop loop;
    private final Consumer<Journal.Entry> whenNoticed;
    private final Watch watch;
    private AgentLine reports;
    private final Map<Long, Journal.Entry> notices = new LinkedHashMap<>();
    /** The next post, where it waits for a gap to pass. */
    private Future<?> postDue;

    private boolean posting;
    private boolean unheard;
    private boolean watching;

    public Discovery(
            Machine machine,
            InetSocketAddress agent,
            HostList hosts,
            Consumer<Relay.EndpointsListed> whenListed,
            Consumer<Journal.Entry> whenNoticed) {
        this.machine = machine;
        this.loop = machine.loop();
        this.whenNoticed = whenNoticed;
        this.watch = new Watch(machine, agent, new Watch.Taker() {
            @Override
            public long version() {
                return hosts.version();
            }

            @Override
            public void take(Wire.Fields list) throws Wire.Malformed {
                whenListed.accept(hosts.update(list));
            }
        });
        this.reports = new AgentLine(machine, agent);
    }

    /**
     * Discovery is elsewhere from now on: what was asked at the old address is dropped, and asked again at
     * the new one at once: a notice unanswered is still owed.
     */
    @Override
    public void onAgentAddressChanged(InetSocketAddress agent) {
        if (agent.equals(reports.agent)) {
            return;
        }
        LOG.info("discovery is at {} now", agent);
        watch.move(agent);
        reports.drop();
        reports = new AgentLine(machine, agent);
        unheard = false;
        if (posting) {
            if (postDue != null) {
                postDue.cancel(false);
            }
            post();
        }
    }

    @Override
    public void release() {
        notices.clear();
        watch.end();
        watching = false;
        reports.drop();
        posting = false;
        if (postDue != null) {
            postDue.cancel(false);
        }
    }

    @Override
    public void watch() {
        if (!watching) {
            watching = true;
            watch.begin();
        }
    }

    /** Posts the end of a message, again and again until the platform has it. */
    @Override
    public void postNotice(Journal.Entry entry) {
        notices.put(entry.number, entry);
        if (!posting) {
            posting = true;
            loop.execute(this::post);
        }
    }

    @Override
    public boolean hasUnacknowledgedNotices() {
        return !notices.isEmpty();
    }

    private void post() {
        if (notices.isEmpty()) {
            posting = false;
            return;
        }
        List<Journal.Entry> batch =
                notices.values().stream().limit(NOTICES_MOST).toList();
        reports.ask(HttpMethod.POST, "/reports", lines(batch), NOTICE_PATIENCE, answer -> {
            if (answer != null && answer.status().code() == 204) {
                unheard = false;
                for (Journal.Entry entry : batch) {
                    notices.remove(entry.number);
                    whenNoticed.accept(entry);
                }
                post();
            } else {
                if (!unheard) {
                    LOG.warn(
                            "{} notices not acknowledged ({}), posted until they are",
                            batch.size(),
                            answer == null ? "no answer" : answer.status());
                }
                unheard = true;
                postDue = loop.schedule(this::post, AGAIN, TimeUnit.MILLISECONDS);
            }
        });
    }

    public static String lines(List<Journal.Entry> batch) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.setRootValueSeparator(null);
            for (Journal.Entry entry : batch) {
                out.writeStartObject();
                out.writeStringField("message", entry.message.id());
                out.writeStringField("outcome", entry.end.handedBack() ? "handed_back" : "given_up");
                if (entry.end.handedBack() && entry.end.retryAfter() > 0) {
                    out.writeNumberField("retry_in_ms", (entry.end.retryAfter() + 999) / 1_000);
                }
                out.writeEndObject();
                out.writeRaw('\n');
            }
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be written", e);
        }
        return text.toString();
    }
}
