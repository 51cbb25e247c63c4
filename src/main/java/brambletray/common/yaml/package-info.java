/** YAML files checked as a whole, each fault with its line and column. */
package brambletray.common.yaml;
