package brambletray.platform.admission;

import java.util.List;

/**
 * From an edge to a home: requests a slot of a service. {@code remainingMs}: time until the deadline; {@code targetMs}:
 * latency target; {@code retry}: the request was sent to an instance before and uses the retry budget; {@code hedge}:
 * a hedged request, granted only if a slot is free now; {@code nestedCall}: made by an instance while it serves another
 * request; {@code excludedInstances}: instances to which the request was sent before.
 */
public record SlotRequest(
        long id,
        String edge,
        String zone,
        String service,
        SlotOwner owner,
        int remainingMs,
        int targetMs,
        boolean hedge,
        boolean retry,
        boolean nestedCall,
        List<String> excludedInstances) {}
