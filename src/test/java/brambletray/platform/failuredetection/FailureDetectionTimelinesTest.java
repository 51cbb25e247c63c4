package brambletray.platform.failuredetection;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the failure detection timelines of the .feature files. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray.platform.failuredetection")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.platform.failuredetection")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
public class FailureDetectionTimelinesTest {}
