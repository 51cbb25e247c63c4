package brambletray.platform.replication;

import java.util.Map;
import java.util.Set;

/**
 * Whom a view change is to leave out and let in.
 *
 * @param suspected incarnations that are not waited for
 * @param excluded  incarnations that are left out if the rest is enough, even if they answer
 * @param newcomers join requests that were admitted, by incarnation
 */
record ViewChangePlan(Set<Long> suspected, Set<Long> excluded, Map<Long, ReplicationMessage.JoinRequest> newcomers) {}
