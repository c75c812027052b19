// Shows what a draft would change, submits it, and shows a race that it lost.
"use strict";

import { readConfiguration, submit, validate } from "./api.js";
import { clashes, differences, mergePatch, mergePatchBetween } from "./document.js";
import { button, element, table } from "./elements.js";

const PRECONDITION_FAILED = 412;

function shown(value) {
  return element("code", {}, value === undefined ? "-" : JSON.stringify(value));
}

/** Names may hold dots themselves, so each step takes the longest name that fits. */
function valueAt(document, path) {
  if (path === "" || document === undefined) {
    return document;
  }
  const names = Object.keys(document).filter((name) => path === name || path.startsWith(`${name}.`));
  const name = names.sort((a, b) => b.length - a.length)[0];
  return name === undefined ? undefined : valueAt(document[name], path.slice(name.length + 1));
}

function differenceTable(caption, list) {
  return table(caption, ["path", "before", "after"],
    list.map((one) => [one.path, shown(one.before), shown(one.after)]));
}

function faultList(faults) {
  return element("section", { className: "bad" }, element("h3", {}, "Faults"),
    element("ul", {}, ...faults.map((fault) => element("li", {}, `${fault.path}: ${fault.message}`))));
}

/** What others changed since the draft was begun, and where it meets the draft's changes. */
function racePanel(context) {
  const { version, document } = context.race;
  const mine = differences(context.base.document, context.draft);
  const theirs = differences(context.base.document, document);
  const both = clashes(mine, theirs);
  const takeOver = () => {
    const patch = mergePatchBetween(context.base.document, context.draft);
    context.base = { version, document };
    context.draft = mergePatch(document, patch);
    context.race = null;
    context.say(`The draft now follows on version ${version}; look at it and apply it again.`);
    context.render();
  };
  return element("section", { className: "race" },
    element("h3", {}, `Version ${version} came first`),
    element("p", {}, `Your draft was begun from version ${context.base.version}. Nothing was applied, and what you typed is kept.`),
    differenceTable("Changed by others meanwhile", theirs),
    both.length === 0 ? element("p", { className: "good" }, "No place was changed by both.")
      : table("Changed by both: your value would replace theirs", ["path", "yours", "theirs"],
        both.map((one) => [one.path, shown(one.after), shown(valueAt(document, one.path))])),
    button("Put my changes on top of the new version", takeOver));
}

async function showRace(context) {
  const present = await readConfiguration();
  if (!present.ok) {
    context.say(`The configuration changed meanwhile, and cannot be read now: ${present.json.detail}`);
    return;
  }
  context.race = { version: present.version, document: present.json };
  context.say("The configuration changed meanwhile. Nothing was applied.");
}

async function apply(context) {
  const answer = await submit(context.base.version, context.draft);
  context.faults = answer.json.faults ?? [];
  if (answer.ok) {
    context.base = { version: answer.version, document: structuredClone(context.draft) };
    context.say(`Accepted as version ${answer.version}.`);
  } else if (answer.status === PRECONDITION_FAILED) {
    await showRace(context);
  } else {
    context.say(`Not applied: ${answer.json.detail}`);
  }
  context.render();
}

async function check(context) {
  const answer = await validate(context.draft);
  context.faults = answer.json.faults ?? [];
  context.say(answer.json.valid ? "The draft is valid."
    : `The draft is not valid: ${context.faults.length} faults. ${answer.json.detail ?? ""}`);
  context.render();
}

/** The page on which a draft is looked at and applied. */
export function reviewPage(context) {
  const list = differences(context.base.document, context.draft);
  const discard = () => {
    context.draft = structuredClone(context.base.document);
    context.faults = [];
    context.race = null;
    context.render();
  };
  const guarded = (work) => () => work(context).catch((error) => context.say(`No answer: ${error.message}`));
  const isIdle = list.length === 0;
  return element("section", {}, element("h2", {}, "Review and apply"),
    isIdle ? element("p", {}, "The draft changes nothing.")
      : differenceTable(`What the draft changes in version ${context.base.version}`, list),
    context.faults.length > 0 ? faultList(context.faults) : null,
    context.race ? racePanel(context) : null,
    element("div", { className: "row" },
      button("Check", guarded(check), { className: "plain" }),
      button("Apply", guarded(apply), { disabled: isIdle || context.race !== null }),
      button("Discard the draft", discard, { className: "plain", disabled: isIdle })));
}
