package brambletray.platform.provisioning;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Plays the drawn timelines of the yard. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray.platform.provisioning")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.platform.provisioning")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
public class ProvisioningTimelinesTest {}
