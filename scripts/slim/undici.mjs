/**
 * The parts of undici that daemons use. The package's index also loads fetch, WebSocket and EventSource, and through them
 * the copy of undici built into Node.js, which takes a fifth of a daemon's startup time.
 */
import * as api from "undici/lib/api/index.js";
import buildConnector from "undici/lib/core/connect.js";
import Agent from "undici/lib/dispatcher/agent.js";
import Client from "undici/lib/dispatcher/client.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
import Pool from "undici/lib/dispatcher/pool.js";

const { request, stream, pipeline, upgrade, connect } = api;
Object.assign(Dispatcher.prototype, { request, stream, pipeline, upgrade, connect });

export { Agent, buildConnector, Client, Pool };
