// Shows the daemons with their versions, the targets with memory and marks, the quarantine.
"use strict";

import { readStatus } from "./api.js";
import { element, table } from "./elements.js";

function mark(text, isBad) {
  return element("span", { className: isBad ? "bad" : "good" }, text);
}

function memory(target) {
  const capacity = Number(target.capacity_tokens ?? 0);
  const resident = Number(target.resident_tokens ?? 0);
  if (capacity === 0) {
    return "-";
  }
  const bar = element("meter", { min: 0, max: capacity, value: resident, "aria-label": "memory in use" });
  return element("span", {}, bar, ` ${resident} of ${capacity} tokens`);
}

function targetMark(target) {
  if (target.dead) {
    return mark("dead", true);
  }
  return target.leaving ? mark("leaving", true) : mark("in use", false);
}

function memberRow(member, version) {
  const isBehind = member.configuration_version !== version;
  return [member.vm, member.data_centre, mark(member.state, member.state !== "alive"),
    mark(member.configuration_version, isBehind)];
}

/** The page for one answer to /v1/status. */
export function statusPage(status) {
  const fault = status.configuration_fault;
  return element("section", {}, element("h2", {}, `Daemon ${status.vm}`),
    element("p", {}, mark(status.ready ? "ready" : "not ready", !status.ready), ", ",
      mark(status.platform_reachable ? "platform reachable" : "platform not reachable", !status.platform_reachable),
      `, version ${status.configuration_version ?? "none"} in force`),
    fault ? element("p", { className: "bad" }, `The newest version is not in force here: ${fault}`) : null,
    table("Daemons", ["VM", "data centre", "state", "version"],
      status.members.map((member) => memberRow(member, status.configuration_version))),
    table("Targets", ["target", "service", "memory", "running", "waiting", "state"],
      status.targets.map((target) => [target.target, target.service ?? "-", memory(target),
        target.running ?? "-", target.waiting ?? "-", targetMark(target)])),
    status.quarantine.length === 0 ? element("p", {}, "No request is in quarantine.")
      : table("Quarantine", ["workspace", "fingerprint", "until"],
        status.quarantine.map((entry) => [entry.workspace, entry.fingerprint, entry.until ?? "-"])));
}

/** Reads the status and returns its page, or one that says why there is none. */
export async function loadStatusPage() {
  const answer = await readStatus();
  if (!answer.ok) {
    return element("p", { className: "bad" }, answer.json.detail ?? `HTTP ${answer.status}`);
  }
  return statusPage(answer.json);
}
