package brambletray.relay.stage;

import brambletray.common.runtime.Machine;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Ledger;
import brambletray.relay.emulator.Step;
import brambletray.relay.emulator.World;
import brambletray.relay.partners.Agent;
import brambletray.relay.partners.PartnerFront;
import brambletray.relay.partners.Registry;
import brambletray.relay.script.Script;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * All that is round the relays of one script, on one machine: partners, an agent beside each relay,
 * clients, and the score. The relays run elsewhere and know nothing of it.
 */
public final class Scene {
    /** How long after a change the list of an agent has it, as long as the script says nothing else; ns. */
    private static final long LIST_LAG = 1_000_000_000L;

    /** Where things listen; port 0 for any that is free. */
    public interface Plan {
        InetSocketAddress partner(int index);

        InetSocketAddress agent(int relay);

        /** The address from which this relay's calls come, as text. */
        String caller(int relay);
    }

    private final Machine machine;
    private final Script script;
    private final Plan plan;
    private final World world;
    private final Ledger ledger;
    private final PartnerFront front;
    private final Score score;
    private final Crowd crowd;
    private final List<Registry> registries = new ArrayList<>();
    private final List<Agent> agents = new ArrayList<>();
    private BiConsumer<Integer, InetSocketAddress> whenAgentMoved = (relay, address) -> {};
    private final long seed;
    private long notices;

    /** {@code seed}: for all chance round the relays; the script's own is mixed in. */
    public Scene(Machine machine, Script script, long seed, Plan plan) {
        this.machine = machine;
        this.script = script;
        this.seed = seed;
        this.plan = plan;
        SplittableRandom seeds = new SplittableRandom(seed * 31 + script.seed());
        ledger = new Ledger(250 * 1_000_000L, Score::line, this::isSafe);
        world = new World(script.partners(), script.steps(), ledger, seeds.nextLong());
        front = new PartnerFront(machine, world);
        score = new Score(ledger, front::now);
        crowd = new Crowd(machine, script, score, front::now, seeds.nextLong());
    }

    /** Binds partners and agents; done when each listens. */
    public List<ChannelFuture> listen() {
        List<Endpoint> endpoints = world.endpoints();
        return front.listen(endpoint -> plan.partner(endpoints.indexOf(endpoint)));
    }

    /** Binds the agents, once the partners listen. */
    public List<ChannelFuture> listenAgents() {
        List<ChannelFuture> bound = new ArrayList<>();
        for (int i = 0; i < script.fleet().relays(); i++) {
            Registry registry = new Registry(world, front::address, front::now, LIST_LAG);
            registries.add(registry);
            Agent agent = agent(i);
            agents.add(agent);
            bound.add(agent.listen(plan.agent(i)));
            int relay = i;
            registry.whenMoved(() -> move(relay));
        }
        world.watch(new World.ListWatcher() {
            @Override
            public void listed(Endpoint endpoint, String host, String health, long born) {
                registries.forEach(registry -> registry.listed(endpoint, host, health, born));
            }

            @Override
            public void late(long by) {
                registries.forEach(registry -> registry.late(by));
            }

            @Override
            public void stalled(boolean silent) {
                registries.forEach(registry -> registry.stalled(silent));
            }

            @Override
            public void moved() {
                registries.forEach(Registry::moved);
            }
        });
        return bound;
    }

    private Agent agent(int relay) {
        return new Agent(
                machine,
                registries.get(relay),
                ledger,
                plan.caller(relay),
                front::now,
                (caller, message, handedBack, retryIn) -> {
                    notices++;
                    crowd.noticed(message, handedBack, retryIn);
                });
    }

    /** The agent of a relay goes to another address; the old one ends 1.5 s later. */
    private void move(int relay) {
        Agent old = agents.get(relay);
        Agent fresh = agent(relay);
        agents.set(relay, fresh);
        fresh.listen(plan.agent(relay)).addListener(done -> {
            whenAgentMoved.accept(relay, fresh.address());
            machine.loop().schedule(old::close, 1_500, TimeUnit.MILLISECONDS);
        });
    }

    /**
     * Told when an agent has moved, with the relay's number and the agent's address: a relay has to be
     * told.
     */
    public void whenAgentMoved(BiConsumer<Integer, InetSocketAddress> told) {
        whenAgentMoved = told;
    }

    /** Told of each of the script's events as it begins. */
    public void whenBegun(Consumer<Step> told) {
        front.whenBegun(told);
    }

    /** See {@link PartnerFront#silence}. */
    public void silence(BiConsumer<InetSocketAddress, Boolean> how) {
        front.silence(how);
    }

    /**
     * The configuration file of a relay, in the platform's form; {@code listen}: where its clients connect.
     */
    public String config(int relay, InetSocketAddress listen, int sockets, double diskMb) {
        return RelayConfig.json(
                script,
                relay,
                text(listen),
                text(agents.get(relay).address()),
                new SplittableRandom(seed + relay).nextLong(),
                sockets,
                diskMb,
                agents.get(relay).known());
    }

    /**
     * Writes what a relay's configuration names besides itself into its folder; {@code mqttPort}: where its
     * clients by MQTT connect, 0 for any.
     */
    public void writeFiles(int relay, Path folder, InetAddress listen, int mqttPort) throws IOException {
        if (RelayConfig.speaksMqtt(script)) {
            Files.writeString(
                    folder.resolve(RelayConfig.mqttFile(relay)),
                    "listen: " + listen.getHostAddress() + ":" + mqttPort + "\ntopic: " + MqttClients.TOPIC + "\n");
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Where the agent of a relay listens. */
    public InetSocketAddress agentAddress(int relay) {
        return agents.get(relay).address();
    }

    /** Lines asked for so far. */
    public long asked() {
        return crowd.made();
    }

    /** Notices that came for messages, also for those of no client of this scene. */
    public long notices() {
        return notices;
    }

    /**
     * Lets the script and the clients begin; all relays serve. {@code mqtt}: where they take clients by MQTT,
     * null for those that take none.
     */
    public void begin(List<InetSocketAddress> relays, List<InetSocketAddress> mqtt) {
        for (int i = 0; i < relays.size(); i++) {
            crowd.relay(i, relays.get(i), mqtt.get(i));
        }
        front.begin();
        if (!relays.isEmpty()) {
            crowd.begin();
        }
    }

    /** The front has noticed that a relay is dead, or serves again. */
    public void alive(int relay, boolean alive) {
        crowd.alive(relay, alive);
    }

    /** True when the traffic is over and everything has ended. */
    public boolean over() {
        return front.now() >= Math.min(script.length(), script.traffic().until()) && !score.open(front.now());
    }

    /** A message has ended without the agent: clients hear of it as they do of a notice. */
    void noticed(String message, boolean handedBack, long retryIn) {
        notices++;
        crowd.noticed(message, handedBack, retryIn);
    }

    /** What clients by MQTT were told; null where the script has none. */
    MqttClients mqttClients() {
        return crowd.mqtt();
    }

    public World world() {
        return world;
    }

    public Ledger ledger() {
        return ledger;
    }

    /** The world's time; ns. */
    public long now() {
        return front.now();
    }

    public InetSocketAddress address(Endpoint endpoint) {
        return front.address(endpoint);
    }

    /** A relay that was killed at this time (ns) serves again. */
    void restarted(int relay, long killed) {
        ledger.restarted(plan.caller(relay));
        ledger.witness().saw(front.now(), plan.caller(relay), "serves again, dead since " + killed / 1_000_000 + " ms");
        score.restarted(killed, front.now());
    }

    private boolean isSafe(String id) {
        return score.knows(id) && score.effect(id).equals("safe");
    }

    /** The effect of a message's class. */
    String effect(String id) {
        return score.effect(id);
    }

    public Score.Result result() {
        return score.result(front.now());
    }

    public void close() {
        crowd.stop();
        agents.forEach(Agent::close);
        front.close();
    }
}
