// The review page: shows the changes in the draft, submits it, and shows a conflict with a version
// that was accepted first.
"use strict";

import { readConfiguration, submit, validate } from "./api.js";
import { conflictingChanges, differences, mergePatch, mergePatchBetween } from "./document.js";
import { button, element, table } from "./elements.js";

const PRECONDITION_FAILED = 412;

function jsonCode(value) {
  return element("code", {}, value === undefined ? "-" : JSON.stringify(value));
}

/** Returns the value at `path`. Names may contain dots, so each step takes the longest name that matches. */
function valueAt(document, path) {
  if (path === "" || document === undefined) {
    return document;
  }
  const names = Object.keys(document).filter((name) => path === name || path.startsWith(`${name}.`));
  const name = names.sort((a, b) => b.length - a.length)[0];
  return name === undefined ? undefined : valueAt(document[name], path.slice(name.length + 1));
}

function differenceTable(caption, changes) {
  return table(caption, ["path", "before", "after"],
    changes.map((change) => [change.path, jsonCode(change.before), jsonCode(change.after)]));
}

function faultList(faults) {
  return element("section", { className: "bad" }, element("h3", {}, "Faults"),
    element("ul", {}, ...faults.map((fault) => element("li", {}, `${fault.path}: ${fault.message}`))));
}

/** Shows what others changed since the draft was begun, and which of these changes conflict with it. */
function conflictPanel(context) {
  const { version, document } = context.conflict;
  const mine = differences(context.original.document, context.draft);
  const theirs = differences(context.original.document, document);
  const conflicts = conflictingChanges(mine, theirs);
  const rebaseDraft = () => {
    const patch = mergePatchBetween(context.original.document, context.draft);
    context.original = { version, document };
    context.draft = mergePatch(document, patch);
    context.conflict = null;
    context.showMessage(`The draft is now based on version ${version}. Review it and apply it again.`);
    context.render();
  };
  return element("section", { className: "race" },
    element("h3", {}, `Conflict with version ${version}`),
    element("p", {}, `Your draft is based on version ${context.original.version}. It was not applied; your changes are kept.`),
    differenceTable("Changes by others since then", theirs),
    conflicts.length === 0 ? element("p", { className: "good" }, "No value was changed by both.")
      : table("Changed by both: your value will replace theirs", ["path", "yours", "theirs"],
        conflicts.map((change) => [change.path, jsonCode(change.after), jsonCode(valueAt(document, change.path))])),
    button("Rebase my changes onto the new version", rebaseDraft));
}

async function showConflict(context) {
  const current = await readConfiguration();
  if (!current.ok) {
    context.showMessage(`The configuration was changed by others and cannot be read: ${current.json.detail}`);
    return;
  }
  context.conflict = { version: current.version, document: current.json };
  context.showMessage("The configuration was changed by others. The draft was not applied.");
}

async function apply(context) {
  const response = await submit(context.original.version, context.draft);
  context.faults = response.json.faults ?? [];
  if (response.ok) {
    context.original = { version: response.version, document: structuredClone(context.draft) };
    context.showMessage(`Accepted as version ${response.version}.`);
  } else if (response.status === PRECONDITION_FAILED) {
    await showConflict(context);
  } else {
    context.showMessage(`Not applied: ${response.json.detail}`);
  }
  context.render();
}

async function check(context) {
  const response = await validate(context.draft);
  context.faults = response.json.faults ?? [];
  context.showMessage(response.json.valid ? "The draft is valid."
    : `The draft is not valid: ${context.faults.length} faults. ${response.json.detail ?? ""}`);
  context.render();
}

/** Creates the page on which the draft is reviewed, validated and applied. */
export function reviewPage(context) {
  const changes = differences(context.original.document, context.draft);
  const discard = () => {
    context.draft = structuredClone(context.original.document);
    context.faults = [];
    context.conflict = null;
    context.render();
  };
  const withErrorMessage = (action) => () => action(context).catch(
    (error) => context.showMessage(`No response from the daemon: ${error.message}`));
  const isUnchanged = changes.length === 0;
  return element("section", {}, element("h2", {}, "Review and apply"),
    isUnchanged ? element("p", {}, "The draft has no changes.")
      : differenceTable(`Changes to version ${context.original.version}`, changes),
    context.faults.length > 0 ? faultList(context.faults) : null,
    context.conflict ? conflictPanel(context) : null,
    element("div", { className: "row" },
      button("Check", withErrorMessage(check), { className: "plain" }),
      button("Apply", withErrorMessage(apply), { disabled: isUnchanged || context.conflict !== null }),
      button("Discard the draft", discard, { className: "plain", disabled: isUnchanged })));
}
