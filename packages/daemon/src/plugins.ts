/** Imports the daemon's plugins so that each follows those it depends on. */
import './host/host_plugin.js';
import './platform/http_platform_plugin.js';
import './platform/embedded_platform_plugin.js';
import './peers/peers_plugin.js';
import './configuration/configuration_plugin.js';
import './leaving/leaving_plugin.js';
import './limits/limits_plugin.js';
import './runners/http_runners_plugin.js';
import './runners/embedded_runners_plugin.js';
import './runners/runners_plugin.js';
import './ratings/ratings_plugin.js';
import './billing/billing_plugin.js';
import './orders/orders_plugin.js';
import './callers/callers_plugin.js';
import './operators/operators_plugin.js';
