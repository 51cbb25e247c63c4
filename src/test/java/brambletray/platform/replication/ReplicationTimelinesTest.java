package brambletray.platform.replication;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the timeline scenarios of the replication protocol ({@code *.feature}). */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray.platform.replication")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.platform.replication")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class ReplicationTimelinesTest {}
