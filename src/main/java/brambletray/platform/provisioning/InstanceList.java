package brambletray.platform.provisioning;

import java.util.List;

/** All hosts of a seat. */
public record InstanceList(String service, String homeZone, List<InstanceInfo> instances) {}
