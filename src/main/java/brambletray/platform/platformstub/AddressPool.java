package brambletray.platform.platformstub;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.function.IntFunction;

/** Addresses of hosts: one of a host that has ended is given again after a while, whatever the service. */
final class AddressPool {
    private final ArrayDeque<StubInstance> ended = new ArrayDeque<>();
    private final int holdMs;
    private final IntFunction<String> newAddress;
    private int createdCount;

    /** {@code fresh}: the next address that was never given, by the number of those before. */
    AddressPool(int holdMs, IntFunction<String> fresh) {
        this.holdMs = holdMs;
        this.newAddress = fresh;
    }

    /** It has ended, or will at a time that is known. */
    void ended(StubInstance instance) {
        ended.add(instance);
    }

    String next(long now) {
        for (Iterator<StubInstance> each = ended.iterator(); each.hasNext(); ) {
            StubInstance former = each.next();
            if (now - holdMs >= former.endAtMs) {
                each.remove();
                return former.address;
            }
        }
        return newAddress.apply(createdCount++);
    }
}
