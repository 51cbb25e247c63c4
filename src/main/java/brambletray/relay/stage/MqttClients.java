package brambletray.relay.stage;

import brambletray.common.runtime.Machine;
import brambletray.relay.script.Script;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBufUtil;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Clients by MQTT: a few programs at each relay, by 5.0 and 3.1.1, QoS 1 and 2, that keep their sessions.
 * They send what was not acknowledged again after a break, with DUP and the same packet id, and listen for
 * the final answers.
 */
final class MqttClients implements Clients {
    static final String TOPIC = "bills/{class}/{destination}/{id}/{key}/{time}";
    private static final int PROGRAMS = 4;
    private static final int PACKET_MOST = 64 * 1024;
    private static final int CONNECT_MS = 400;
    private static final int BACK_MS = 250;
    /** How long a client waits for the acknowledgement of one PUBLISH, over all connections; ms. */
    private static final int ANSWER_MS = 2_500;
    /** Of what a relay lets a client have out at once where it tells no other figure. */
    private static final int RECEIVE_MAXIMUM = 20;

    private final Machine machine;
    private final Script script;
    private final List<List<Program>> relays = new ArrayList<>();
    private final Map<String, String> answers = new LinkedHashMap<>();
    private final Set<String> unanswered = new LinkedHashSet<>();
    private long taken;
    private long contradictions;
    private long unmarked;
    private int next;
    private boolean stopped;

    MqttClients(Machine machine, Script script) {
        this.machine = machine;
        this.script = script;
    }

    /** The final answer of each message that got one: delivered, handed_back or given_up, by id. */
    Map<String, String> answers() {
        return answers;
    }

    /** Messages that were acknowledged and had no final answer yet. */
    Set<String> unanswered() {
        return unanswered;
    }

    /** How many messages were acknowledged. */
    long taken() {
        return taken;
    }

    /** Final answers that said something else than the first one for their message. */
    long contradictions() {
        return contradictions;
    }

    /** Final answers that came again and were not marked as sent again. */
    long unmarked() {
        return unmarked;
    }

    @Override
    public void relay(int number, InetSocketAddress address) {
        while (relays.size() <= number) {
            List<Program> programs = new ArrayList<>();
            for (int i = 0; i < PROGRAMS; i++) {
                programs.add(new Program("meter-" + relays.size() + "-" + i, i));
            }
            relays.add(programs);
        }
        for (Program program : relays.get(number)) {
            program.address = address;
            program.connect();
        }
    }

    @Override
    public void handIn(Handed message) {
        List<Program> programs = relays.get(message.relay());
        programs.get(next++ % programs.size()).handIn(message);
    }

    @Override
    public void stop() {
        stopped = true;
        relays.forEach(programs -> programs.forEach(program -> {
            if (program.channel != null) {
                program.channel.close();
            }
        }));
    }

    /** One PUBLISH that is not acknowledged yet, or whose QoS 2 is not at its end. */
    private static final class Out {
        final Handed message;
        boolean released;
        boolean over;

        Out(Handed message) {
            this.message = message;
        }
    }

    /** One client with its session. */
    private final class Program {
        private final String id;
        private final MqttVersion version;
        private final MqttQoS qos;
        private final Map<Integer, Out> out = new LinkedHashMap<>();
        private final ArrayDeque<Out> waiting = new ArrayDeque<>();
        private InetSocketAddress address;
        private Channel channel;
        private boolean ready;
        private int packet;
        private int most = RECEIVE_MAXIMUM;

        Program(String id, int index) {
            this.id = id;
            this.version = index % 2 == 0 ? MqttVersion.MQTT_5 : MqttVersion.MQTT_3_1_1;
            this.qos = index / 2 % 2 == 0 ? MqttQoS.AT_LEAST_ONCE : MqttQoS.EXACTLY_ONCE;
        }

        private boolean five() {
            return version == MqttVersion.MQTT_5;
        }

        private void connect() {
            if (channel != null || stopped) {
                return;
            }
            ChannelFuture connect = machine.dialling(CONNECT_MS, new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline()
                                    .addLast(
                                            new MqttDecoder(PACKET_MOST),
                                            MqttEncoder.INSTANCE,
                                            new Packets(Program.this));
                        }
                    })
                    .connect(address);
            channel = connect.channel();
            connect.addListener(done -> {
                if (done.isSuccess()) {
                    MqttProperties properties = new MqttProperties();
                    if (five()) {
                        properties.add(new MqttProperties.IntegerProperty(
                                MqttPropertyType.SESSION_EXPIRY_INTERVAL.value(), 600));
                    }
                    channel.writeAndFlush(MqttMessageBuilders.connect()
                            .protocolVersion(version)
                            .clientId(id)
                            .cleanSession(false)
                            .keepAlive(60)
                            .properties(properties)
                            .build());
                } else {
                    gone(connect.channel());
                }
            });
        }

        private void gone(Channel which) {
            if (which == channel) {
                channel = null;
                ready = false;
                machine.loop().schedule(this::connect, BACK_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void accepted(MqttConnAckMessage ack) {
            if (ack.variableHeader().connectReturnCode() != MqttConnectReturnCode.CONNECTION_ACCEPTED) {
                channel.close();
                return;
            }
            ready = true;
            if (ack.variableHeader().properties().getProperty(MqttPropertyType.RECEIVE_MAXIMUM.value())
                    instanceof MqttProperties.IntegerProperty p) {
                most = p.value();
            }
            if (!ack.variableHeader().isSessionPresent()) {
                // The relay holds no ids of an earlier session.
                out.values().removeIf(o -> o.released || o.over);
                channel.write(MqttMessageBuilders.subscribe()
                        .messageId(nextPacket())
                        .addSubscription(MqttQoS.AT_LEAST_ONCE, "answers/" + id)
                        .build());
            }
            out.forEach((p, o) -> {
                if (o.released) {
                    channel.write(release(p));
                } else if (!o.over) {
                    channel.write(publish(p, o.message, true));
                }
            });
            channel.flush();
            go();
        }

        private int nextPacket() {
            do {
                packet = packet >= 65_535 ? 1 : packet + 1;
            } while (out.containsKey(packet));
            return packet;
        }

        private void handIn(Handed message) {
            Out fresh = new Out(message);
            waiting.addLast(fresh);
            machine.loop()
                    .schedule(
                            () -> {
                                if (!fresh.over && !fresh.released) {
                                    fresh.over = true;
                                    waiting.remove(fresh);
                                    message.heard().left();
                                }
                            },
                            ANSWER_MS,
                            TimeUnit.MILLISECONDS);
            go();
        }

        private void go() {
            while (ready && !waiting.isEmpty() && out.size() < most) {
                Out o = waiting.pollFirst();
                int p = nextPacket();
                out.put(p, o);
                channel.writeAndFlush(publish(p, o.message, false));
            }
        }

        private MqttMessage publish(int p, Handed handed, boolean again) {
            String topic = "bills/" + handed.messageClass().name() + "/" + handed.destination() + "/" + handed.id()
                    + "/key-" + handed.line() + "/" + Math.max(1, handed.left().getAsLong());
            return new MqttPublishMessage(
                    new MqttFixedHeader(MqttMessageType.PUBLISH, again, qos, false, 0),
                    new MqttPublishVariableHeader(topic, p, MqttProperties.NO_PROPERTIES),
                    Unpooled.wrappedBuffer(new byte[script.traffic().bodyBytes()]));
        }

        private MqttMessage release(int p) {
            return new MqttMessage(
                    new MqttFixedHeader(MqttMessageType.PUBREL, false, MqttQoS.AT_LEAST_ONCE, false, 0),
                    MqttMessageIdVariableHeader.from(p));
        }

        private void acknowledged(MqttMessage ack, boolean received) {
            int p = ((MqttMessageIdVariableHeader) ack.variableHeader()).messageId();
            int reason = ack.variableHeader() instanceof MqttPubReplyMessageVariableHeader head
                    ? head.reasonCode() & 0xff
                    : 0;
            Out o = out.get(p);
            boolean owned = received && reason < 0x80;
            if (owned) {
                channel.writeAndFlush(release(p));
            }
            if (o == null || o.released) {
                return;
            }
            if (!owned) {
                out.remove(p);
            }
            o.released = owned;
            if (!o.over) {
                o.over = !owned;
                if (reason < 0x80) {
                    taken++;
                    if (!answers.containsKey(o.message.id())) {
                        unanswered.add(o.message.id());
                    }
                    o.message.heard().taken();
                } else {
                    o.message.heard().refused(reason == 0x97, advice(ack));
                }
            }
            go();
        }

        private long advice(MqttMessage ack) {
            for (var property : ((MqttPubReplyMessageVariableHeader) ack.variableHeader())
                    .properties()
                    .getProperties(MqttPropertyType.USER_PROPERTY.value())) {
                MqttProperties.StringPair pair = (MqttProperties.StringPair) property.value();
                if (pair.key.equals("retry-after-ms")) {
                    return Long.parseLong(pair.value);
                }
            }
            return 0;
        }

        private void answer(MqttPublishMessage publish) {
            String message = null;
            String outcome = null;
            try (JsonParser in = new JsonFactory().createParser(ByteBufUtil.getBytes(publish.payload()))) {
                while (in.nextToken() != null) {
                    if (in.currentToken() == JsonToken.VALUE_STRING) {
                        message = in.currentName().equals("message") ? in.getText() : message;
                        outcome = in.currentName().equals("outcome") ? in.getText() : outcome;
                    }
                }
            } catch (IOException e) {
                throw new IllegalStateException("a final answer that can't be read", e);
            }
            unanswered.remove(message);
            String before = answers.putIfAbsent(message, outcome);
            if (before != null) {
                contradictions += before.equals(outcome) ? 0 : 1;
                unmarked += publish.fixedHeader().isDup() ? 0 : 1;
            }
            channel.writeAndFlush(new MqttMessage(
                    new MqttFixedHeader(MqttMessageType.PUBACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
                    MqttMessageIdVariableHeader.from(publish.variableHeader().packetId())));
        }
    }

    private static final class Packets extends SimpleChannelInboundHandler<MqttMessage> {
        private final Program program;

        Packets(Program program) {
            this.program = program;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, MqttMessage packet) {
            if (context.channel() != program.channel || packet.decoderResult().isFailure()) {
                context.close();
                return;
            }
            switch (packet.fixedHeader().messageType()) {
                case CONNACK -> program.accepted((MqttConnAckMessage) packet);
                case PUBACK -> program.acknowledged(packet, false);
                case PUBREC -> program.acknowledged(packet, true);
                case PUBCOMP -> {
                    program.out.remove(((MqttMessageIdVariableHeader) packet.variableHeader()).messageId());
                    program.go();
                }
                case PUBLISH -> program.answer((MqttPublishMessage) packet);
                case DISCONNECT -> context.close();
                default -> {}
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            program.gone(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
