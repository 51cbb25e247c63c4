package brambletray.platform.admission;

import java.util.List;

/**
 * A request for a place at a host of a service. {@code remainingMs} and {@code targetMs}: ms; {@code again}: it has
 * reached a host already and draws on the budget of further tries; {@code inner}: a call made by a host of ours;
 * {@code copy}: the delayed copy, granted only where a place is free now; {@code avoid}: hosts that had it. */
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
