package brambletray.relay.mqtt.clients;

import brambletray.relay.control.Relay;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.core.RateLimitedLog;
import brambletray.relay.core.SubmissionResult;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import brambletray.relay.message.Origin;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttConnAckVariableHeader;
import io.netty.handler.codec.mqtt.MqttConnectMessage;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttFixedHeader;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageIdAndPropertiesVariableHeader;
import io.netty.handler.codec.mqtt.MqttMessageIdVariableHeader;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttReasonCodeAndPropertiesVariableHeader;
import io.netty.handler.codec.mqtt.MqttSubAckMessage;
import io.netty.handler.codec.mqtt.MqttSubAckPayload;
import io.netty.handler.codec.mqtt.MqttSubscribeMessage;
import io.netty.handler.codec.mqtt.MqttTopicSubscription;
import io.netty.handler.codec.mqtt.MqttUnacceptableProtocolVersionException;
import io.netty.handler.codec.mqtt.MqttUnsubAckMessage;
import io.netty.handler.codec.mqtt.MqttUnsubAckPayload;
import io.netty.handler.codec.mqtt.MqttUnsubscribeMessage;
import io.netty.handler.codec.mqtt.MqttVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection of an MQTT client (OASIS MQTT 3.1.1 and 5.0, the server's side). What it publishes to the
 * scheme's topics is handed in like any message; it is acknowledged once it is written down. One thread.
 */
final class MqttClient extends SimpleChannelInboundHandler<MqttMessage> {
    private static final Logger LOG = LoggerFactory.getLogger(MqttClient.class);
    /** Reason codes of MQTT 5.0, section 2.4. */
    static final int SUCCESS = 0x00;

    static final int DISCONNECT_WITH_WILL = 0x04;
    static final int NO_SUBSCRIPTION = 0x11;
    static final int UNSPECIFIED = 0x80;
    static final int MALFORMED = 0x81;
    static final int PROTOCOL_ERROR = 0x82;
    static final int IMPLEMENTATION = 0x83;
    static final int UNSUPPORTED_VERSION = 0x84;
    static final int ID_NOT_VALID = 0x85;
    static final int BAD_USER = 0x86;
    static final int NOT_AUTHORISED = 0x87;
    static final int SHUTTING_DOWN = 0x8B;
    static final int TAKEN_OVER = 0x8E;
    static final int FILTER_INVALID = 0x8F;
    static final int TOPIC_INVALID = 0x90;
    static final int ID_IN_USE = 0x91;
    static final int ID_NOT_FOUND = 0x92;
    static final int RECEIVE_MAXIMUM = 0x93;
    static final int ALIAS_INVALID = 0x94;
    static final int QUOTA = 0x97;
    static final int RETAIN_UNSUPPORTED = 0x9A;
    static final int SHARED_UNSUPPORTED = 0x9E;
    static final int IDENTIFIERS_UNSUPPORTED = 0xA1;

    private static final int ALIASES = 16;
    private static final int ID_MOST = 128;
    private static final int KEY_MOST = 256;
    private static final int CLIENT_ID_MOST = 256;
    private static final int TOPIC_MOST = 1_024;
    private static final long TIME_MOST_MS = 3_600_000;
    private static final long READ_LATE_MS = 150;
    private static final long CONNECT_WITHIN_MS = 2_300;
    /** A PUBACK with advice is no longer than this. */
    private static final int ADVICE_BYTES = 48;
    /** Bytes that wait for a client that does not read, before it is closed. */
    private static final int OUT_MOST = 1 << 20;

    private final MqttFront front;
    private final MqttSettings settings;
    private final Sessions sessions;
    private final EventDispatcher loop;
    private final RateLimitedLog complaints;
    private Channel channel;
    private Session session;
    private ConnectOptions options;
    private OutboundAnswers outbound;
    private boolean five;
    private boolean connected;
    private boolean ended;
    private String clientId = "";
    private String filter = "#";
    private Will will;
    private int keepAliveSeconds;
    private final Map<Integer, String> aliases = new HashMap<>();
    /** Publishes of QoS 1 and 2 under way: taken in, not yet acknowledged; a client may have so many out. */
    private final Set<Integer> underWay = new HashSet<>();

    private Future<?> timer;
    private long heardAt;

    /** What the client wants published when its connection ends without a DISCONNECT. */
    private record Will(String topic, byte[] payload, MqttProperties properties, MqttQoS qos) {}

    MqttClient(
            MqttFront front,
            MqttSettings settings,
            Sessions sessions,
            EventDispatcher loop,
            RateLimitedLog complaints) {
        this.front = front;
        this.settings = settings;
        this.sessions = sessions;
        this.loop = loop;
        this.complaints = complaints;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        heardAt = front.clock().nanos();
        if (!front.enter(this)) {
            channel.close();
            return;
        }
        timer = channel.eventLoop().schedule(this::checkAlive, CONNECT_WITHIN_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Closes a connection that has been silent for one and a half times its keep-alive (section 3.1.2.10).
     */
    private void checkAlive() {
        long most = connected ? keepAliveSeconds * 1_500_000_000L : CONNECT_WITHIN_MS * 1_000_000;
        if (most <= 0) {
            return;
        }
        long left = heardAt + most - front.clock().nanos();
        if (left <= 0) {
            disconnect(0x8D, "silent for longer than its keep-alive");
        } else {
            timer = channel.eventLoop().schedule(this::checkAlive, left, TimeUnit.NANOSECONDS);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MqttMessage packet) {
        heardAt = front.clock().nanos();
        if (ended) {
            return;
        }
        if (packet.decoderResult().isFailure()) {
            malformed(packet);
            return;
        }
        MqttMessageType type = packet.fixedHeader().messageType();
        if (!connected && type != MqttMessageType.CONNECT) {
            disconnect(PROTOCOL_ERROR, "no CONNECT first");
            return;
        }
        switch (type) {
            case CONNECT -> connect((MqttConnectMessage) packet);
            case PUBLISH -> publish((MqttPublishMessage) packet);
            case PUBACK -> outbound.acknowledged(packetId(packet));
            case PUBREC ->
                reply(
                        MqttMessageType.PUBREL,
                        packetId(packet),
                        session.out.containsKey(packetId(packet)) ? SUCCESS : ID_NOT_FOUND,
                        null);
            case PUBCOMP -> outbound.acknowledged(packetId(packet));
            case PUBREL -> release(packetId(packet));
            case SUBSCRIBE -> subscribe((MqttSubscribeMessage) packet);
            case UNSUBSCRIBE -> unsubscribe((MqttUnsubscribeMessage) packet);
            case PINGREQ ->
                write(new MqttMessage(
                        new MqttFixedHeader(MqttMessageType.PINGRESP, false, MqttQoS.AT_MOST_ONCE, false, 0)));
            case DISCONNECT -> left(packet);
            default -> disconnect(PROTOCOL_ERROR, type + " from a client");
        }
    }

    private void malformed(MqttMessage packet) {
        Throwable cause = packet.decoderResult().cause();
        if (!connected) {
            ended = true;
            boolean version = cause instanceof MqttUnacceptableProtocolVersionException;
            if (version) {
                connAck(MqttConnectReturnCode.CONNECTION_REFUSED_UNACCEPTABLE_PROTOCOL_VERSION, false, null)
                        .addListener(ChannelFutureListener.CLOSE);
            } else {
                channel.close();
            }
            complaints.warn("MQTT connection closed: " + cause.getMessage());
            return;
        }
        boolean large = cause instanceof TooLongFrameException;
        disconnect(
                large ? 0x95 : MALFORMED,
                large ? "a packet over " + settings.packetBytes() + " bytes" : "a packet that can't be read");
    }

    private static int packetId(MqttMessage packet) {
        return packet.variableHeader() instanceof MqttMessageIdVariableHeader id ? id.messageId() : 0;
    }

    // ---- Connecting -----------------------------------------------------------------------------
    private void connect(MqttConnectMessage packet) {
        if (connected) {
            disconnect(PROTOCOL_ERROR, "a second CONNECT");
            return;
        }
        int version = packet.variableHeader().version();
        five = version == MqttVersion.MQTT_5.protocolLevel();
        if (!five && version != MqttVersion.MQTT_3_1_1.protocolLevel()) {
            refuse(MqttConnectReturnCode.CONNECTION_REFUSED_UNACCEPTABLE_PROTOCOL_VERSION);
            return;
        }
        options = ConnectOptions.of(packet);
        MqttConnectReturnCode refusal = options.refusal(packet);
        if (refusal != null) {
            refuse(refusal);
            return;
        }
        boolean clean = options.clean();
        clientId = packet.payload().clientIdentifier();
        String assigned = null;
        if (clientId == null || clientId.isEmpty()) {
            if (!five && !clean) {
                refuse(MqttConnectReturnCode.CONNECTION_REFUSED_IDENTIFIER_REJECTED);
                return;
            }
            assigned = front.assignId();
            clientId = assigned;
        }
        if (clientId.length() > CLIENT_ID_MOST) {
            refuse(
                    five
                            ? MqttConnectReturnCode.CONNECTION_REFUSED_CLIENT_IDENTIFIER_NOT_VALID
                            : MqttConnectReturnCode.CONNECTION_REFUSED_IDENTIFIER_REJECTED);
            return;
        }
        if (settings.users() != null) {
            filter = settings.users()
                    .filter(packet.payload().userName(), packet.payload().passwordInBytes());
            if (filter == null) {
                complaints.warn("MQTT client " + clientId + " refused: name and password do not fit");
                refuse(
                        five
                                ? MqttConnectReturnCode.CONNECTION_REFUSED_BAD_USERNAME_OR_PASSWORD
                                : MqttConnectReturnCode.CONNECTION_REFUSED_BAD_USER_NAME_OR_PASSWORD);
                return;
            }
        }
        Session known = sessions.find(clientId);
        if (known != null && known.connected != null) {
            // Section 3.1.4: the elder connection of a client id ends.
            known.connected.disconnect(TAKEN_OVER, "taken over by another connection");
            known = sessions.find(clientId);
        }
        if (known != null && clean) {
            sessions.end(known);
            known = null;
        }
        session = known != null ? known : sessions.begin(clientId);
        if (session == null) {
            refuse(
                    five
                            ? MqttConnectReturnCode.CONNECTION_REFUSED_QUOTA_EXCEEDED
                            : MqttConnectReturnCode.CONNECTION_REFUSED_SERVER_UNAVAILABLE);
            return;
        }
        session.connected = this;
        session.expiryMs = Math.min(settings.sessionExpiryMs(), options.expirySeconds() * 1_000);
        if (session.delayedWill != null) {
            // Section 3.1.3.2.2: the client is back in time.
            session.delayedWill.cancel(false);
            session.delayedWill = null;
        }
        // Guards the session against a kill while its client is connected.
        sessions.connected(session);
        outbound = new OutboundAnswers(session, sessions, options, this::write);
        keepAliveSeconds = packet.variableHeader().keepAliveTimeSeconds();
        if (packet.variableHeader().isWillFlag()) {
            will = new Will(
                    packet.payload().willTopic(),
                    packet.payload().willMessageInBytes(),
                    packet.payload().willProperties(),
                    MqttQoS.valueOf(packet.variableHeader().willQos()));
        }
        connected = true;
        timer.cancel(false);
        checkAlive();
        connAck(MqttConnectReturnCode.CONNECTION_ACCEPTED, known != null, assigned);
        answersWaiting();
    }

    private void refuse(MqttConnectReturnCode code) {
        ended = true;
        connAck(code, false, null).addListener(ChannelFutureListener.CLOSE);
    }

    private ChannelFuture connAck(MqttConnectReturnCode code, boolean present, String assigned) {
        MqttProperties properties = new MqttProperties();
        if (five && code == MqttConnectReturnCode.CONNECTION_ACCEPTED) {
            properties.add(new MqttProperties.IntegerProperty(
                    MqttPropertyType.RECEIVE_MAXIMUM.value(), settings.receiveMaximum()));
            properties.add(new MqttProperties.IntegerProperty(
                    MqttPropertyType.MAXIMUM_PACKET_SIZE.value(), settings.packetBytes()));
            properties.add(new MqttProperties.IntegerProperty(MqttPropertyType.TOPIC_ALIAS_MAXIMUM.value(), ALIASES));
            properties.add(new MqttProperties.IntegerProperty(MqttPropertyType.RETAIN_AVAILABLE.value(), 0));
            properties.add(
                    new MqttProperties.IntegerProperty(MqttPropertyType.SHARED_SUBSCRIPTION_AVAILABLE.value(), 0));
            properties.add(
                    new MqttProperties.IntegerProperty(MqttPropertyType.SUBSCRIPTION_IDENTIFIER_AVAILABLE.value(), 0));
            properties.add(new MqttProperties.IntegerProperty(
                    MqttPropertyType.SESSION_EXPIRY_INTERVAL.value(), (int) (session.expiryMs / 1_000)));
            if (assigned != null) {
                properties.add(new MqttProperties.StringProperty(
                        MqttPropertyType.ASSIGNED_CLIENT_IDENTIFIER.value(), assigned));
            }
        }
        return channel.writeAndFlush(new MqttConnAckMessage(
                new MqttFixedHeader(MqttMessageType.CONNACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
                new MqttConnAckVariableHeader(code, present, properties)));
    }

    // ---- Publishing -----------------------------------------------------------------------------
    /** A publish that cannot be handed in; {@code reason} of MQTT 5. */
    private static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;
        private final int reason;

        Bad(int reason, String fault) {
            super(fault, null, false, false);
            this.reason = reason;
        }
    }

    private void publish(MqttPublishMessage packet) {
        MqttQoS qos = packet.fixedHeader().qosLevel();
        int id = packet.variableHeader().packetId();
        String topic = topic(packet);
        if (topic == null) {
            return;
        }
        if (five && packet.fixedHeader().isRetain()) {
            disconnect(RETAIN_UNSUPPORTED, "a publish that is to be retained; CONNACK said that none is");
            return;
        }
        if (qos != MqttQoS.AT_MOST_ONCE && underWay.size() >= settings.receiveMaximum() && !underWay.contains(id)) {
            disconnect(RECEIVE_MAXIMUM, "more than " + settings.receiveMaximum() + " publishes out");
            return;
        }
        if (qos == MqttQoS.EXACTLY_ONCE && session.received.contains(id)) {
            // Sent again before its PUBREL: it was taken on, and is answered so (section 4.3.3).
            reply(MqttMessageType.PUBREC, id, SUCCESS, null);
            return;
        }
        if (qos == MqttQoS.AT_MOST_ONCE && !settings.takeUnacknowledged()) {
            front.countRefusedUnacknowledged();
            return;
        }
        byte[] body = ByteBufUtil.getBytes(packet.payload());
        try {
            Message message = message(topic, body, packet.variableHeader().properties(), id);
            if (sessions.wasTaken(message.id())) {
                taken(qos, id);
                return;
            }
            underWay.add(id);
            loop.accept(message, new ToPublisher(qos, id, message.id()));
        } catch (Bad bad) {
            complaints.warn("MQTT publish of " + clientId + " turned away: " + bad.getMessage());
            refused(qos, id, bad.reason, 0);
        }
    }

    /** The topic, also by its alias; null, and the connection ended, for one that makes no sense. */
    private String topic(MqttPublishMessage packet) {
        String topic = packet.variableHeader().topicName();
        int alias = five
                ? ConnectOptions.integer(packet.variableHeader().properties(), MqttPropertyType.TOPIC_ALIAS, 0)
                : 0;
        boolean has =
                five && packet.variableHeader().properties().getProperty(MqttPropertyType.TOPIC_ALIAS.value()) != null;
        if (has && (alias < 1 || alias > ALIASES)) {
            disconnect(ALIAS_INVALID, "topic alias " + alias + " is not within 1 to " + ALIASES);
            return null;
        }
        if (topic.isEmpty()) {
            topic = has ? aliases.get(alias) : null;
            if (topic == null) {
                disconnect(PROTOCOL_ERROR, "no topic, and no alias that is known");
                return null;
            }
        } else if (!ConnectOptions.isText(topic)) {
            disconnect(MALFORMED, "a topic that is no UTF-8");
            return null;
        } else if (has) {
            aliases.put(alias, topic);
        }
        return topic;
    }

    private Message message(String topic, byte[] body, MqttProperties properties, int packet) throws Bad {
        Map<String, String> told =
                topic.length() > TOPIC_MOST ? null : settings.topics().match(topic);
        if (told == null) {
            throw new Bad(TOPIC_INVALID, "topic " + topic + " is not of the scheme");
        }
        if (!TopicScheme.covers(filter, topic)) {
            throw new Bad(NOT_AUTHORISED, "its user may not publish to " + topic);
        }
        if (five) {
            for (var property : properties.getProperties(MqttPropertyType.USER_PROPERTY.value())) {
                if (property.value() instanceof MqttProperties.StringPair pair) {
                    told.putIfAbsent(pair.key, pair.value);
                }
            }
        }
        String name = told.get("class");
        var kind = loop.messageClass(name);
        if (kind == null) {
            throw new Bad(TOPIC_INVALID, "unknown class " + name);
        }
        long destination = number(told.get("destination"), "destination");
        if (!loop.isRoutable(name, destination)) {
            throw new Bad(TOPIC_INVALID, "unknown destination " + destination);
        }
        byte[] correlation = new byte[0];
        String answers = settings.answers().replace("{client}", clientId);
        if (five) {
            if (properties.getProperty(MqttPropertyType.CORRELATION_DATA.value())
                    instanceof MqttProperties.BinaryProperty p) {
                correlation = p.value();
            }
            if (properties.getProperty(MqttPropertyType.RESPONSE_TOPIC.value())
                    instanceof MqttProperties.StringProperty p) {
                answers = p.value();
            }
        }
        if (answers.contains("+") || answers.contains("#") || !ConnectOptions.isText(answers)) {
            throw new Bad(TOPIC_INVALID, "a response topic with wildcards, or no UTF-8");
        }
        if (correlation.length > ID_MOST || answers.length() > TOPIC_MOST) {
            throw new Bad(IMPLEMENTATION, "correlation data or response topic too long");
        }
        String id = told.get("id");
        if (id == null && correlation.length > 0) {
            id = clientId + "-" + HexFormat.of().formatHex(correlation);
        }
        if (id == null || id.isEmpty() || id.length() > ID_MOST) {
            throw new Bad(IMPLEMENTATION, "no id, by topic, user property or correlation data, or a too long one");
        }
        String key = told.get("key");
        if (key == null && kind.effect() == Relay.Effect.KEYED) {
            key = id;
        }
        if (key != null && (key.isEmpty() || key.length() > KEY_MOST)) {
            throw new Bad(IMPLEMENTATION, "key is empty or too long");
        }
        long time = told.containsKey("time") ? number(told.get("time"), "time") : settings.timeMs();
        int expiry = five ? ConnectOptions.integer(properties, MqttPropertyType.PUBLICATION_EXPIRY_INTERVAL, -1) : -1;
        if (expiry >= 0) {
            time = Math.min(time, expiry * 1_000L);
        }
        if (time < 1 || time > TIME_MOST_MS) {
            throw new Bad(IMPLEMENTATION, "its time is not within 1 to " + TIME_MOST_MS + " ms");
        }
        long deadline = front.clock().unixMillis() + time - Math.min(READ_LATE_MS, time / 10);
        return new Message(
                id,
                name,
                0,
                told.get("route"),
                key,
                destination,
                deadline,
                Body.of(body),
                new Origin(clientId, answers, correlation));
    }

    private static long number(String text, String name) throws Bad {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new Bad(TOPIC_INVALID, name + " is not a whole number");
        }
    }

    /** How a publish was met; the client may have left meanwhile. */
    private final class ToPublisher implements SubmissionResult {
        private final MqttQoS qos;
        private final int packet;
        private final String id;

        ToPublisher(MqttQoS qos, int packet, String id) {
            this.qos = qos;
            this.packet = packet;
            this.id = id;
        }

        @Override
        public void onStaged() {
            sessions.take(id);
            if (qos == MqttQoS.EXACTLY_ONCE && !ended) {
                sessions.received(session, packet);
            }
        }

        @Override
        public void onNotStored() {
            sessions.untake(id);
            sessions.released(session, packet);
        }

        @Override
        public void accepted() {
            // A client that has left hears of it by the answer that its session keeps; it may send it again.
            MqttClient.this.taken(qos, packet);
        }

        @Override
        public void duplicate() {
            MqttClient.this.taken(qos, packet);
        }

        @Override
        public void conflict() {
            MqttClient.this.refused(qos, packet, ID_IN_USE, 0);
        }

        @Override
        public void refused(long retryAfter) {
            MqttClient.this.refused(qos, packet, QUOTA, retryAfter);
        }

        @Override
        public void failed() {
            MqttClient.this.refused(qos, packet, UNSPECIFIED, 0);
        }
    }

    private void taken(MqttQoS qos, int packet) {
        underWay.remove(packet);
        if (qos == MqttQoS.AT_LEAST_ONCE) {
            reply(MqttMessageType.PUBACK, packet, SUCCESS, null);
        } else if (qos == MqttQoS.EXACTLY_ONCE) {
            reply(MqttMessageType.PUBREC, packet, SUCCESS, null);
        }
    }

    /**
     * Not taken on. MQTT 5 has a reason code for it, and says when to come back; 3.1.1 has none, so its
     * connection is closed with nothing acknowledged, which claims nothing: the client comes again with its
     * session.
     */
    private void refused(MqttQoS qos, int packet, int reason, long retryAfter) {
        underWay.remove(packet);
        if (qos == MqttQoS.AT_MOST_ONCE) {
            front.countRefusedUnacknowledged();
        } else if (five) {
            reply(
                    qos == MqttQoS.AT_LEAST_ONCE ? MqttMessageType.PUBACK : MqttMessageType.PUBREC,
                    packet,
                    reason,
                    retryAfter > 0 ? String.valueOf((retryAfter + 999) / 1_000) : null);
        } else {
            disconnect(reason, "a publish is not taken on, and MQTT 3.1.1 has no way to say so");
        }
    }

    private void release(int packet) {
        boolean known = session.received.contains(packet);
        sessions.released(session, packet);
        reply(MqttMessageType.PUBCOMP, packet, known ? SUCCESS : ID_NOT_FOUND, null);
    }

    private void reply(MqttMessageType type, int packet, int reason, String retryAfterMs) {
        if (ended) {
            return;
        }
        MqttFixedHeader head = new MqttFixedHeader(
                type, false, type == MqttMessageType.PUBREL ? MqttQoS.AT_LEAST_ONCE : MqttQoS.AT_MOST_ONCE, false, 0);
        MqttProperties properties = new MqttProperties();
        if (retryAfterMs != null && options.problems() && options.maximumPacket() >= ADVICE_BYTES) {
            properties.add(new MqttProperties.UserProperty("retry-after-ms", retryAfterMs));
        }
        write(new MqttMessage(
                head,
                five
                        ? new MqttPubReplyMessageVariableHeader(packet, (byte) reason, properties)
                        : MqttMessageIdVariableHeader.from(packet)));
    }

    /** Bounds what waits for a client that does not read. */
    private void write(MqttMessage packet) {
        channel.writeAndFlush(packet);
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > OUT_MOST) {
            complaints.warn("MQTT client " + clientId + " closed: it does not read its answers");
            ended = true;
            channel.close();
        }
    }

    // ---- Answers --------------------------------------------------------------------------------
    /** Answers wait, or more may go out. */
    void answersWaiting() {
        if (!ended && connected) {
            outbound.send();
        }
    }

    private void subscribe(MqttSubscribeMessage packet) {
        if (packet.payload().topicSubscriptions().isEmpty()) {
            disconnect(PROTOCOL_ERROR, "a SUBSCRIBE with no filter");
            return;
        }
        if (five
                && packet.idAndPropertiesVariableHeader()
                                .properties()
                                .getProperty(MqttPropertyType.SUBSCRIPTION_IDENTIFIER.value())
                        != null) {
            disconnect(IDENTIFIERS_UNSUPPORTED, "a subscription identifier; CONNACK said that none is known");
            return;
        }
        List<Integer> granted = new ArrayList<>();
        for (MqttTopicSubscription s : packet.payload().topicSubscriptions()) {
            String wanted = s.topicFilter();
            if (five && wanted.startsWith("$share/")) {
                disconnect(SHARED_UNSUPPORTED, "a shared subscription; CONNACK said that none is known");
                return;
            }
            if (!TopicScheme.isFilter(wanted) || wanted.length() > TOPIC_MOST || session.filters.size() >= 64) {
                granted.add(five ? FILTER_INVALID : UNSPECIFIED);
                continue;
            }
            // Answers go out with QoS 1 at most.
            int qos = Math.min(1, s.qualityOfService().value());
            sessions.subscribed(session, wanted, qos);
            granted.add(qos);
        }
        write(new MqttSubAckMessage(
                new MqttFixedHeader(MqttMessageType.SUBACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
                new MqttMessageIdAndPropertiesVariableHeader(
                        packet.variableHeader().messageId(), MqttProperties.NO_PROPERTIES),
                new MqttSubAckPayload(granted)));
        answersWaiting();
    }

    private void unsubscribe(MqttUnsubscribeMessage packet) {
        if (packet.payload().topics().isEmpty()) {
            disconnect(PROTOCOL_ERROR, "an UNSUBSCRIBE with no filter");
            return;
        }
        List<Short> reasons = new ArrayList<>();
        for (String wanted : packet.payload().topics()) {
            reasons.add((short) (sessions.unsubscribed(session, wanted) ? SUCCESS : NO_SUBSCRIPTION));
        }
        write(new MqttUnsubAckMessage(
                new MqttFixedHeader(MqttMessageType.UNSUBACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
                new MqttMessageIdAndPropertiesVariableHeader(
                        packet.variableHeader().messageId(), MqttProperties.NO_PROPERTIES),
                new MqttUnsubAckPayload(reasons)));
    }

    // ---- Ends -----------------------------------------------------------------------------------
    private void left(MqttMessage packet) {
        if (five && packet.variableHeader() instanceof MqttReasonCodeAndPropertiesVariableHeader head) {
            int expiry = ConnectOptions.integer(head.properties(), MqttPropertyType.SESSION_EXPIRY_INTERVAL, -1);
            if (expiry > 0 && session.expiryMs == 0) {
                disconnect(PROTOCOL_ERROR, "a session that was to end with its connection is to last");
                return;
            }
            if (expiry >= 0) {
                session.expiryMs = Math.min(settings.sessionExpiryMs(), (expiry & 0xffffffffL) * 1_000);
            }
            will = (head.reasonCode() & 0xff) == DISCONNECT_WITH_WILL ? will : null;
        } else {
            will = null;
        }
        ended = true;
        channel.close();
    }

    /** Ends the connection from here; MQTT 5 is told why. */
    void disconnect(int reason, String why) {
        if (ended) {
            return;
        }
        ended = true;
        complaints.warn("MQTT client " + clientId + " disconnected: " + why);
        if (five && connected) {
            channel.writeAndFlush(new MqttMessage(
                            new MqttFixedHeader(MqttMessageType.DISCONNECT, false, MqttQoS.AT_MOST_ONCE, false, 0),
                            new MqttReasonCodeAndPropertiesVariableHeader((byte) reason, MqttProperties.NO_PROPERTIES)))
                    .addListener(ChannelFutureListener.CLOSE);
        } else {
            channel.close();
        }
        detach();
    }

    /** The session is its client's next connection's from now on. */
    private void detach() {
        if (session != null && session.connected == this) {
            sessions.left(session);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (timer != null) {
            timer.cancel(false);
        }
        ended = true;
        front.leave(this);
        if (will != null && connected) {
            Will last = will;
            will = null;
            // It goes when its delay is over or the session ends, whichever comes first.
            long delayMs = Math.min(
                    session.expiryMs,
                    last.properties() == null
                            ? 0
                            : 1_000L
                                    * (ConnectOptions.integer(
                                                    last.properties(), MqttPropertyType.WILL_DELAY_INTERVAL, 0)
                                            & 0xffffffffL));
            if (delayMs > 0 && session.connected != null && session.connected != this) {
                LOG.debug("MQTT client {} is back before its will", clientId);
            } else if (delayMs > 0) {
                session.delayedWill = channel.eventLoop().schedule(() -> handIn(last), delayMs, TimeUnit.MILLISECONDS);
            } else {
                handIn(last);
            }
        }
        detach();
    }

    /**
     * The will is a message like any other, if its topic is of the scheme; nobody hears whether it is taken
     * on.
     */
    private void handIn(Will last) {
        try {
            Message message = message(
                    last.topic(),
                    last.payload() == null ? new byte[0] : last.payload(),
                    last.properties() == null ? MqttProperties.NO_PROPERTIES : last.properties(),
                    0);
            if (!sessions.wasTaken(message.id())) {
                loop.accept(message, new ToPublisher(MqttQoS.AT_MOST_ONCE, 0, message.id()));
            }
        } catch (Bad bad) {
            complaints.warn("will of MQTT client " + clientId + " not taken on: " + bad.getMessage());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.error("connection of an MQTT client closed", cause);
        }
        context.close();
    }
}
