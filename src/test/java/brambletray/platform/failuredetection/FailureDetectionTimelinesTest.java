package brambletray.platform.failuredetection;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Plays the drawn timelines of the ring. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray.platform.failuredetection")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.platform.failuredetection")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
public class FailureDetectionTimelinesTest {}
