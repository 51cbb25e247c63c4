package brambletray.mqtt.hosts;

import brambletray.control.Relay.Outcome;
import brambletray.core.Calls;
import brambletray.core.Host;
import brambletray.core.Reply;
import brambletray.message.Message;
import brambletray.runtime.Clock;
import brambletray.runtime.Machine;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import io.netty.handler.codec.mqtt.MqttFixedHeader;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttMessageIdVariableHeader;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttPublishVariableHeader;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls to partners whose endpoints are MQTT 5 servers: the relay is their client, one call is one PUBLISH of
 * QoS 1, its outcome is the PUBACK's reason code. One connection for each host, many calls on it at once,
 * up to the partner's receive maximum. One thread.
 *
 * <p>The session is clean: after a break nothing is sent again here, what was out may have run, and the
 * module decides what becomes of it within its class.
 */
public final class MqttCalls implements Calls {
    private static final Logger LOG = LoggerFactory.getLogger(MqttCalls.class);
    private static final int PACKET_MOST = 64 * 1024, KEEP_ALIVE_S = 30;
    private static final String TOPIC = "v1/messages/";

    private final Machine machine;
    private final Clock clock;
    private final String name;
    private final int connectTimeout;
    private final Map<Host, Line> lines = new LinkedHashMap<>();

    /** {@code name}: of this relay, its client id at the partners'; {@code connectTimeout}: us. */
    public MqttCalls(Machine machine, String name, long connectTimeout) {
        this.machine = machine;
        this.clock = machine.clock();
        this.name = name;
        this.connectTimeout = (int) Math.max(1, connectTimeout / 1_000);
    }

    private Line line(Host host) {
        return lines.computeIfAbsent(host, Line::new);
    }

    @Override
    public Call call(Host host, Message message, long patience, Consumer<Reply> whenEnded) {
        Out call = new Out(line(host), message, whenEnded);
        call.timer = machine.loop().schedule(call::giveUp, patience, TimeUnit.MICROSECONDS);
        call.until = clock.nanos() + patience * 1_000;
        call.line.waiting.addLast(call);
        call.line.go();
        return call;
    }

    @Override
    public void takeBack(Host host) {
        for (Out call : List.copyOf(line(host).waiting)) {
            call.end(Outcome.NOT_SENT);
        }
    }

    @Override
    public void closeIdle(Host host) {
        Line line = line(host);
        line.closeWhenIdle = true;
        line.closeIfIdle();
    }

    @Override
    public boolean forget(Host host) {
        Line line = lines.get(host);
        if (line != null && line.channel == null && line.waiting.isEmpty()) {
            lines.remove(host);
        }
        return !lines.containsKey(host);
    }

    /** One call, from when it was asked for until its reply. */
    private final class Out implements Call {
        private final Line line;
        private final Message message;
        private final Consumer<Reply> whenEnded;
        private final long began = clock.nanos();
        private Future<?> timer;
        private long until;
        private boolean written, ended, reused;

        Out(Line line, Message message, Consumer<Reply> whenEnded) {
            this.line = line;
            this.message = message;
            this.whenEnded = whenEnded;
        }

        /** MQTT cannot take a PUBLISH back: the partner may act on it all the same. */
        @Override
        public void cancel() {
            end(Outcome.CANCELLED);
        }

        private void giveUp() {
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        private void end(Outcome outcome) {
            end(outcome, 0);
        }

        private void end(Outcome outcome, long wait) {
            if (!ended) {
                ended = true;
                timer.cancel(false);
                line.waiting.remove(this);
                whenEnded.accept(new Reply(outcome, outcome == Outcome.OK, wait,
                    (clock.nanos() - began) / 1_000, -1,
                    -1, reused));
            }
        }
    }

    /** The connection to one host. */
    private final class Line {
        private final Host host;
        /**
         * Calls of which no byte has gone out; those that are out, by packet id, also when nobody waits any
         * more.
         */
        private final ArrayDeque<Out> waiting = new ArrayDeque<>();
        private final Map<Integer, Out> out = new LinkedHashMap<>();
        private Channel channel;
        private boolean ready, closeWhenIdle, used;
        private int receiveMaximum, nextPacket;

        Line(Host host) {
            this.host = host;
        }

        /** Sends what waits, as much as the partner takes at once; connects first if need be. */
        private void go() {
            if (waiting.isEmpty()) {
                return;
            }
            if (channel == null) {
                connect();
                return;
            }
            while (ready && !waiting.isEmpty() && out.size() < receiveMaximum) {
                send(waiting.pollFirst());
            }
        }

        private void connect() {
            closeWhenIdle = false;
            Bootstrap bootstrap = machine.dialling(connectTimeout, new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(new MqttDecoder(PACKET_MOST), MqttEncoder.INSTANCE,
                        new Packets(Line.this));
                }
            });
            ChannelFuture connect = bootstrap.connect(host.dial);
            channel = connect.channel();
            connect.addListener(done -> {
                if (done.isSuccess()) {
                    channel.writeAndFlush(MqttMessageBuilders.connect().protocolVersion(MqttVersion.MQTT_5)
                        .clientId(name).cleanSession(true).keepAlive(KEEP_ALIVE_S).build());
                } else {
                    broken(connect.channel(), Outcome.CONNECT_FAILED, 0);
                }
            });
        }

        private void send(Out call) {
            byte[] body;
            try {
                body = call.message.body().bytes();
            } catch (IOException e) {
                LOG.warn("message {} not sent: {}", call.message.id(), e.getMessage());
                call.end(Outcome.NOT_SENT);
                return;
            }
            int packet = nextPacket();
            out.put(packet, call);
            call.reused = used;
            used = true;
            MqttProperties properties = new MqttProperties();
            properties.add(new MqttProperties.UserProperty("id", call.message.id()));
            if (call.message.idempotencyKey() != null) {
                properties.add(new MqttProperties.UserProperty("key", call.message.idempotencyKey()));
            }
            properties.add(new MqttProperties.UserProperty("timeout-ms",
                String.valueOf(Math.max(1, (call.until - clock.nanos()) / 1_000_000))));
            channel.writeAndFlush(new MqttPublishMessage(
                new MqttFixedHeader(MqttMessageType.PUBLISH, false, MqttQoS.AT_LEAST_ONCE, false, 0),
                new MqttPublishVariableHeader(TOPIC + call.message.destination(), packet, properties),
                Unpooled.wrappedBuffer(body))).addListener(done -> {
                    // Kept when the last byte has been handed to the socket: from then on it may run.
                    call.written = done.isSuccess();
                    if (!done.isSuccess() && channel != null) {
                        channel.close();
                    }
                });
        }

        private int nextPacket() {
            do {
                nextPacket = nextPacket >= 65_535 ? 1 : nextPacket + 1;
            } while (out.containsKey(nextPacket));
            return nextPacket;
        }

        private void accepted(MqttConnAckMessage ack) {
            MqttProperties properties = ack.variableHeader().properties();
            if (ack.variableHeader().connectReturnCode() != MqttConnectReturnCode.CONNECTION_ACCEPTED) {
                int reason = ack.variableHeader().connectReturnCode().byteValue() & 0xff;
                Channel refused = channel;
                broken(refused, MqttOutcomes.refused(reason), toldWait(properties));
                refused.close();
                return;
            }
            receiveMaximum = properties.getProperty(MqttPropertyType.RECEIVE_MAXIMUM.value())
                instanceof MqttProperties.IntegerProperty p ? Math.max(1, p.value()) : 65_535;
            ready = true;
            go();
        }

        private void acknowledged(int packet, int reason, MqttProperties properties) {
            Out call = out.remove(packet);
            if (call != null) {
                Outcome outcome = MqttOutcomes.published(reason);
                call.end(outcome, outcome == Outcome.FULL ? toldWait(properties) : 0);
            }
            go();
            closeIfIdle();
        }

        private void closeIfIdle() {
            if (closeWhenIdle && out.isEmpty() && waiting.isEmpty() && channel != null) {
                channel.close();
            }
        }

        /** The connection has ended: what was out may have run, what had not gone out never did. */
        private void broken(Channel which, Outcome unsent, long wait) {
            if (which != channel) {
                return;
            }
            channel = null;
            ready = false;
            used = false;
            List<Out> lost = new ArrayList<>(out.values());
            out.clear();
            List<Out> unsentCalls = new ArrayList<>(waiting);
            waiting.clear();
            lost.forEach(call -> call.end(call.written ? Outcome.RESET : Outcome.CONNECT_RESET));
            unsentCalls.forEach(call -> call.end(unsent, unsent == Outcome.FULL ? wait : 0));
        }
    }

    /** A told wait in us, from the user property {@code retry-after-ms}; 0 for none. */
    private static long toldWait(MqttProperties properties) {
        for (var property : properties.getProperties(MqttPropertyType.USER_PROPERTY.value())) {
            if (property.value() instanceof MqttProperties.StringPair pair
                && pair.key.equals("retry-after-ms")) {
                try {
                    long ms = Long.parseLong(pair.value);
                    return ms > 0 && ms <= 3_600_000 ? ms * 1_000 : 0;
                } catch (NumberFormatException e) {
                    return 0;
                }
            }
        }
        return 0;
    }

    private final class Packets extends SimpleChannelInboundHandler<MqttMessage> {
        private final Line line;

        Packets(Line line) {
            this.line = line;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, MqttMessage packet) {
            if (context.channel() != line.channel) {
                return;
            }
            if (packet.decoderResult().isFailure()) {
                LOG.warn("host {} sent a packet that can't be read: connection closed", line.host.name);
                context.close();
                return;
            }
            switch (packet.fixedHeader().messageType()) {
                case CONNACK -> line.accepted((MqttConnAckMessage) packet);
                case PUBACK -> {
                    MqttMessageIdVariableHeader head = (MqttMessageIdVariableHeader) packet.variableHeader();
                    boolean told = head instanceof MqttPubReplyMessageVariableHeader;
                    line.acknowledged(head.messageId(),
                        told ? ((MqttPubReplyMessageVariableHeader) head).reasonCode() & 0xff : 0,
                        told ? ((MqttPubReplyMessageVariableHeader) head).properties()
                            : MqttProperties.NO_PROPERTIES);
                }
                case DISCONNECT -> context.close();
                default -> { }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            line.broken(context.channel(), Outcome.CONNECT_RESET, 0);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection to a host closed", cause);
            }
            context.close();
        }
    }
}
