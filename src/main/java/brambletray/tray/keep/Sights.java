package brambletray.tray.keep;

import brambletray.tray.creed.Creed;
import brambletray.tray.ring.Roster;
import brambletray.tray.view.Status;
import brambletray.tray.vow.Holder;
import brambletray.tray.yard.Host;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** What a running member shows in its {@link Views}. {@code hub}: gives null while the helm is not held here. */
record Sights(
        Supplier<Status> member,
        Supplier<List<String>> zonesHoldingHalf,
        Supplier<Creed> creed,
        Supplier<Holder> holder,
        Supplier<Hub> hub,
        LongSupplier clock)
        implements Views.Source {
    @Override
    public Status status() {
        return member.get();
    }

    @Override
    public List<String> zonesThatHoldHalf() {
        return zonesHoldingHalf.get();
    }

    @Override
    public long revision() {
        return creed.get().revision();
    }

    @Override
    public Holder helm() {
        return holder.get();
    }

    @Override
    public Views.Book book() {
        Hub held = hub.get();
        return held == null ? null : new Held(held, now());
    }

    @Override
    public long now() {
        return clock.getAsLong();
    }

    private record Held(Hub hub, long now) implements Views.Book {
        @Override
        public Roster roster() {
            return hub.newest();
        }

        @Override
        public long has(String edge) {
            return hub.has(edge);
        }

        @Override
        public List<Host> hosts(String service) {
            return hub.yard().hosts(service, Views.MOST, now);
        }

        @Override
        public int known() {
            return hub.yard().known();
        }
    }
}
