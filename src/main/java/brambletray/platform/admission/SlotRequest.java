package brambletray.platform.admission;

import java.util.List;

/**
 * From an edge to a home: requests a slot of a service. {@code remainingMs} and {@code targetMs}: ms; {@code again}:
 * the request has reached an instance already and draws on the retry budget; {@code inner}: a nested call; {@code
 * copy}: a hedged request, granted only if a slot is free now; {@code avoid}: instances that had it.
 */
public record SlotRequest(
        long id,
        String edge,
        String zone,
        String service,
        int priority,
        int remainingMs,
        int targetMs,
        boolean hedge,
        boolean retry,
        boolean nestedCall,
        List<String> excludedInstances) {}
