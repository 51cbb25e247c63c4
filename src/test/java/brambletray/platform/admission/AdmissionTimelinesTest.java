package brambletray.platform.admission;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PUBLISH_QUIET_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the timelines of the admission features. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray.platform.admission")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "brambletray.platform.admission")
@ConfigurationParameter(key = PLUGIN_PUBLISH_QUIET_PROPERTY_NAME, value = "true")
class AdmissionTimelinesTest {}
