package brambletray.relay.mqtt.clients;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import brambletray.relay.core.CompletionListener;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.core.RateLimitedLog;
import brambletray.relay.store.Store;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** MQTT clients' way in: their connections, on a listener of its own. One thread, that of the loop. */
public final class MqttFront extends ChannelInitializer<Channel> {
    private static final Logger LOG = LoggerFactory.getLogger(MqttFront.class);
    /** s; between looks for sessions that have expired. */
    private static final long SWEEP = 1;

    private final Machine machine;
    private final MqttSettings settings;
    private final EventDispatcher loop;
    private final Sessions sessions;
    private final RateLimitedLog complaints;
    private final Set<MqttClient> clients = new LinkedHashSet<>();
    private long assigned;
    private long refusedUnacknowledged;
    private boolean leaving;

    /** Takes up the sessions that the store holds; the loop is to tell {@link #ends} from then on. */
    public MqttFront(Machine machine, MqttSettings settings, EventDispatcher loop, Store store) {
        this.machine = machine;
        this.settings = settings;
        this.loop = loop;
        this.complaints = new RateLimitedLog(LOG, machine.clock());
        this.sessions = new Sessions(store, loop, machine.clock(), settings);
        machine.loop().scheduleWithFixedDelay(sessions::sweep, SWEEP, SWEEP, TimeUnit.SECONDS);
    }

    /** Tells clients the ends of their messages. */
    public CompletionListener ends() {
        return sessions;
    }

    /** Listens; done when clients can connect. */
    public ChannelFuture listen() {
        return machine.listening(this).bind(settings.listen());
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(
                        new MqttDecoder(settings.packetBytes()),
                        MqttEncoder.INSTANCE,
                        new MqttClient(this, settings, sessions, loop, complaints));
    }

    Clock clock() {
        return machine.clock();
    }

    boolean enter(MqttClient client) {
        if (leaving || clients.size() >= settings.connections()) {
            complaints.warn("MQTT connection closed: " + clients.size() + " clients are connected");
            return false;
        }
        return clients.add(client);
    }

    void leave(MqttClient client) {
        clients.remove(client);
    }

    String assignId() {
        return "auto-" + Long.toHexString(machine.clock().unixMillis()) + "-" + ++assigned;
    }

    void countRefusedUnacknowledged() {
        refusedUnacknowledged++;
    }

    /** Publishes of QoS 0 that were refused. */
    public long refusedUnacknowledged() {
        return refusedUnacknowledged;
    }

    public int connections() {
        return clients.size();
    }

    public int sessions() {
        return sessions.size();
    }

    /** The end of a drain: clients may connect again. */
    public void welcome() {
        leaving = false;
    }

    /** The orderly end, or a drain: clients are told that the server shuts down, and keep their sessions. */
    public void closeClients() {
        leaving = true;
        for (MqttClient client : List.copyOf(clients)) {
            client.disconnect(MqttClient.SHUTTING_DOWN, "the relay shuts down");
        }
    }
}
