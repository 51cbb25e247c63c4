package brambletray.platform.admission;

import java.util.List;

/**
 * From an edge to a home: requests a slot of a service. {@code remainingMs} and {@code targetMs}: ms; {@code retry}:
 * the request has reached an instance already and draws on the retry budget; {@code hedge}: a hedged request, granted
 * only if a slot is free now; {@code excludedInstances}: instances that had it.
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
