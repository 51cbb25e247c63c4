package brambletray.platform.election;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the election timelines of the .feature files. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray.platform.election")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.platform.election")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class ElectionTimelinesTest {}
