package brambletray.membership;

import brambletray.control.Relay;
import brambletray.core.Platform;
import brambletray.journal.Journal;
import brambletray.runtime.Machine;
import brambletray.wire.Wire;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
    /** ms; how long a watch may wait, and how long past that its answer is awaited. */
    private static final long WAIT = 20_000, WAIT_SLACK = 2_000;
    /** ms; a notice not acknowledged within this is posted again; gap between tries of either sort. */
    private static final long NOTICE_PATIENCE = 2_000, AGAIN = 100;
    private static final int LIST_MOST = 8 << 20, NOTICES_MOST = 100;

    private final Machine machine;
    private final EventLoop loop;
    private final HostList hosts;
    private final Consumer<Relay.Listed> whenListed;
    private final Consumer<Journal.Entry> whenNoticed;
    private Line watch;
    private Line reports;
    private final Map<Long, Journal.Entry> notices = new LinkedHashMap<>();
    /** The next watch and the next post, where they wait for a gap to pass. */
    private Future<?> watchDue, postDue;
    private boolean posting;
    /** The next list must be a whole one: versions of one agent mean nothing to another. */
    private boolean wantsWhole;
    private boolean silent;
    private boolean unheard;

    public Discovery(Machine machine, InetSocketAddress agent, HostList hosts,
                     Consumer<Relay.Listed> whenListed, Consumer<Journal.Entry> whenNoticed) {
        this.machine = machine;
        this.loop = machine.loop();
        this.hosts = hosts;
        this.whenListed = whenListed;
        this.whenNoticed = whenNoticed;
        this.watch = new Line(agent);
        this.reports = new Line(agent);
    }

    /**
     * Discovery is elsewhere from now on: what was asked at the old address is dropped, and asked again at
     * the new one at once. A watch may be out there for {@link #WAIT}, a notice unanswered is still owed.
     */
    @Override
    public void move(InetSocketAddress agent) {
        if (agent.equals(watch.agent)) {
            return;
        }
        LOG.info("discovery is at {} now", agent);
        List.of(watch, reports).forEach(Line::drop);
        watch = new Line(agent);
        reports = new Line(agent);
        silent = false;
        unheard = false;
        wantsWhole = true;
        cancel(watchDue);
        watch();
        if (posting) {
            cancel(postDue);
            post();
        }
    }

    private static void cancel(Future<?> due) {
        if (due != null) {
            due.cancel(false);
        }
    }

    /** Asks for what is newer than the list held; the next call follows the answer at once. */
    @Override
    public void watch() {
        boolean whole = hosts.version() < 0 || wantsWhole;
        String query = whole ? "" : "?after=" + hosts.version() + "&wait_ms=" + WAIT;
        watch.ask(HttpMethod.GET, "/v1/servers" + query, "", WAIT + WAIT_SLACK, answer -> {
            try {
                if (answer != null && answer.status().code() == 200) {
                    whenListed.accept(hosts.update(
                        Wire.decode(answer.content().toString(StandardCharsets.UTF_8))));
                    silent = false;
                    wantsWhole = false;
                    watch();
                    return;
                }
                complain("discovery answered " + (answer == null ? "nothing" : answer.status()), null);
            } catch (Wire.Malformed e) {
                complain("discovery's list cannot be read: " + e.getMessage(), null);
            } catch (RuntimeException e) {
                // Guards the watch: it must go on whatever the list held.
                complain("discovery's list could not be taken in", e);
            }
            watchDue = loop.schedule(this::watch, AGAIN, TimeUnit.MILLISECONDS);
        });
    }

    /** Once until the watch works again: it asks many times a second. */
    private void complain(String fault, RuntimeException cause) {
        if (!silent) {
            LOG.warn("{}; the list of version {} is kept", fault, hosts.version(), cause);
        }
        silent = true;
    }

    /** Posts the end of a message, again and again until the platform has it. */
    @Override
    public void notice(Journal.Entry entry) {
        notices.put(entry.number, entry);
        if (!posting) {
            posting = true;
            loop.execute(this::post);
        }
    }

    @Override
    public boolean noticesLeft() {
        return !notices.isEmpty();
    }

    private void post() {
        if (notices.isEmpty()) {
            posting = false;
            return;
        }
        List<Journal.Entry> batch = notices.values().stream().limit(NOTICES_MOST).toList();
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
                    LOG.warn("{} notices not acknowledged ({}), posted until they are", batch.size(),
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

    /** One kept connection to the agent, which carries one request at a time. */
    private final class Line {
        private final Bootstrap bootstrap;
        private final InetSocketAddress agent;
        private Channel channel;
        private Consumer<FullHttpResponse> waiting;
        private Future<?> timer;

        Line(InetSocketAddress agent) {
            this.agent = agent;
            this.bootstrap = machine.dialling((int) NOTICE_PATIENCE, new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LIST_MOST),
                        new Reader());
                }
            });
        }

        /** Ends the connection; an answer that is still out will not be told. */
        void drop() {
            waiting = null;
            cancel(timer);
            if (channel != null) {
                channel.close();
            }
        }

        /** Sends a request; its answer, or null for none in time, comes exactly once. */
        void ask(HttpMethod method, String uri, String body, long patience,
            Consumer<FullHttpResponse> whenAnswered) {
            waiting = whenAnswered;
            timer = loop.schedule(() -> answered(channel, null), patience, TimeUnit.MILLISECONDS);
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            request.headers().set(HttpHeaderNames.HOST,
                agent.getAddress().getHostAddress() + ":" + agent.getPort())
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            if (channel != null && channel.isActive()) {
                write(channel, request);
            } else {
                ChannelFuture connect = bootstrap.connect(agent);
                channel = connect.channel();
                connect.addListener(done -> {
                    if (done.isSuccess()) {
                        write(connect.channel(), request);
                    } else {
                        request.release();
                        answered(connect.channel(), null);
                    }
                });
            }
        }

        private void write(Channel to, FullHttpRequest request) {
            to.writeAndFlush(request).addListener(done -> {
                if (!done.isSuccess()) {
                    answered(to, null);
                }
            });
        }

        private void answered(Channel from, FullHttpResponse answer) {
            if (from != channel || waiting == null) {
                return;
            }
            if (answer == null || !HttpUtil.isKeepAlive(answer)) {
                channel = null;
                from.close();
            }
            timer.cancel(false);
            Consumer<FullHttpResponse> told = waiting;
            waiting = null;
            told.accept(answer);
        }

        private final class Reader extends SimpleChannelInboundHandler<FullHttpResponse> {
            @Override
            protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
                answered(context.channel(), answer.decoderResult().isFailure() ? null : answer);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                answered(context.channel(), null);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                if (!(cause instanceof IOException)) {
                    LOG.error("connection to discovery closed", cause);
                }
                context.close();
            }
        }
    }
}
