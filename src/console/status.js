// The status page: daemons with their configuration versions, targets with memory use and state,
// and quarantined requests.
"use strict";

import { readStatus } from "./api.js";
import { element, table } from "./elements.js";

function badge(text, isBad) {
  return element("span", { className: isBad ? "bad" : "good" }, text);
}

function memoryUse(target) {
  const capacity = Number(target.capacity_tokens ?? 0);
  const resident = Number(target.resident_tokens ?? 0);
  if (capacity === 0) {
    return "-";
  }
  const bar = element("meter", { min: 0, max: capacity, value: resident, "aria-label": "memory in use" });
  return element("span", {}, bar, ` ${resident} of ${capacity} tokens`);
}

function targetBadge(target) {
  if (target.dead) {
    return badge("dead", true);
  }
  return target.leaving ? badge("leaving", true) : badge("in use", false);
}

function memberRow(member, version) {
  const isBehind = member.configuration_version !== version;
  return [member.vm, member.data_centre, badge(member.state, member.state !== "alive"),
    badge(member.configuration_version, isBehind)];
}

/** Creates the page for one response of /v1/status. */
export function statusPage(status) {
  const fault = status.configuration_fault;
  return element("section", {}, element("h2", {}, `Daemon ${status.vm}`),
    element("p", {}, badge(status.ready ? "ready" : "not ready", !status.ready), ", ",
      badge(status.platform_reachable ? "platform reachable" : "platform not reachable", !status.platform_reachable),
      `, version ${status.configuration_version ?? "none"} in force`),
    fault ? element("p", { className: "bad" }, `The newest version is not in force on this daemon: ${fault}`) : null,
    table("Daemons", ["VM", "data centre", "state", "version"],
      status.members.map((member) => memberRow(member, status.configuration_version))),
    table("Targets", ["target", "service", "memory", "running", "waiting", "state"],
      status.targets.map((target) => [target.target, target.service ?? "-", memoryUse(target),
        target.running ?? "-", target.waiting ?? "-", targetBadge(target)])),
    status.quarantine.length === 0 ? element("p", {}, "No request is in quarantine.")
      : table("Quarantine", ["workspace", "fingerprint", "until"],
        status.quarantine.map((entry) => [entry.workspace, entry.fingerprint, entry.until ?? "-"])));
}

/** Reads the status and creates its page, or a page with the error. */
export async function loadStatusPage() {
  const response = await readStatus();
  if (!response.ok) {
    return element("p", { className: "bad" }, response.json.detail ?? `HTTP ${response.status}`);
  }
  return statusPage(response.json);
}
