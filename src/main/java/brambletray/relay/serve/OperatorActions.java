package brambletray.relay.serve;

import brambletray.relay.console.CommandResponse;
import brambletray.relay.console.Operations;
import brambletray.relay.console.Statsd;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.core.Host;
import brambletray.relay.core.HostDirectory;
import brambletray.relay.journal.ExcludedHostsJournal;
import brambletray.relay.metrics.MessageMetrics;
import brambletray.relay.operations.Exclusions;
import java.util.function.Consumer;

/** Carries operators' calls out on the relay that owns the store. One thread, that of the loop. */
final class OperatorActions implements Operations {
    private final EventDispatcher loop;
    private final HostDirectory hosts;
    private final MessageMetrics figures;
    private final ExcludedHostsJournal kept;
    private final Exclusions exclusions;
    private final GracefulShutdown draining;

    /** Takes the hosts out that were out before; before the loop is told anything else. */
    OperatorActions(
            EventDispatcher loop,
            HostDirectory hosts,
            MessageMetrics figures,
            ExcludedHostsJournal kept,
            GracefulShutdown draining) {
        this.loop = loop;
        this.hosts = hosts;
        this.figures = figures;
        this.kept = kept;
        this.exclusions = new Exclusions(kept.all());
        this.draining = draining;
        for (String name : kept.all()) {
            loop.setExcluded(hosts.hostNamed(name), true);
        }
    }

    @Override
    public void ready(Consumer<CommandResponse> then) {
        then.accept(CommandResponse.yes(draining.told()));
    }

    @Override
    public void figures(Consumer<CommandResponse> then) {
        then.accept(CommandResponse.yes(Statsd.lines(figures, hosts.listedCount(), loop.avoidedHosts())));
    }

    @Override
    public void drain(boolean away, Consumer<CommandResponse> then) {
        then.accept(away ? draining.standby() : draining.active());
    }

    @Override
    public void exclude(String name, boolean out, Consumer<CommandResponse> then) {
        boolean listed = hosts.wasListed(name);
        then.accept(
                switch (out ? exclusions.enter(name, listed) : exclusions.exit(name, listed)) {
                    case UNKNOWN -> new CommandResponse(404, "no list has named a host " + name);
                    case FULL -> new CommandResponse(503, Exclusions.MOST + " hosts are out already");
                    case UNCHANGED -> out ? takenOut(name) : CommandResponse.yes(name + " is in use");
                    case CHANGED -> {
                        loop.setExcluded(hosts.hostNamed(name), out);
                        yield out ? takenOut(name) : putBack(name);
                    }
                });
    }

    /** It is out already: nothing goes there, whether or not that can be written down. */
    private CommandResponse takenOut(String name) {
        if (!kept.all().contains(name)) {
            if (!kept.enter(name)) {
                return new CommandResponse(503, name + " is out until this process ends: no room in the store");
            }
            if (!loop.commitNow()) {
                kept.notEntered(name);
                return new CommandResponse(503, name + " is out until this process ends: the store cannot be written");
            }
        }
        return CommandResponse.yes(name + " is out");
    }

    private CommandResponse putBack(String name) {
        kept.exit(name);
        if (!loop.commitNow()) {
            // Guards against a host that is in use until a restart, and out again after it.
            exclusions.enter(name, true);
            Host host = hosts.hostNamed(name);
            loop.setExcluded(host, true);
            return new CommandResponse(503, name + " is still out: the store cannot be written");
        }
        kept.exited(name);
        return CommandResponse.yes(name + " is in use, with care at first");
    }
}
