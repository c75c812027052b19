// The console: signs in, keeps the draft document and shows one page at a time.
"use strict";

import { readConfiguration, readSchema, setToken } from "./api.js";
import { differences } from "./document.js";
import { button } from "./elements.js";
import { partForm } from "./forms.js";
import { reviewPage } from "./review.js";
import { loadStatusPage } from "./status.js";

const REFRESH_MS = 5000;
const PARTS = ["services", "models", "workspaces", "targets"];
const PAGES = ["status", ...PARTS, "review"];

const byId = (id) => document.getElementById(id);

const context = {
  schema: null,
  base: { version: 0, document: {} },
  draft: {},
  faults: [],
  race: null,
  open: new Set(),
  filter: {},
  page: "status",
  say: (text) => { byId("message").textContent = text; },
  changed: () => showSummary(),
  render: () => render(),
};

function showSummary() {
  const count = differences(context.base.document, context.draft).length;
  byId("summary").textContent = `version ${context.base.version}`
    + (count === 0 ? "" : `, ${count} changes in the draft`);
  for (const tab of byId("tabs").children) {
    tab.setAttribute("aria-current", tab.dataset.page === context.page ? "page" : "false");
  }
}

async function showStatus() {
  const page = await loadStatusPage();
  if (context.page === "status") {
    byId("main").replaceChildren(page);
  }
}

function render() {
  showSummary();
  if (context.page === "status") {
    showStatus().catch((error) => context.say(`No answer: ${error.message}`));
  } else if (context.page === "review") {
    byId("main").replaceChildren(reviewPage(context));
  } else {
    byId("main").replaceChildren(partForm(context, context.page));
  }
}

function openPage(page) {
  context.page = page;
  context.say("");
  render();
  byId("main").focus();
}

function showTabs() {
  byId("tabs").replaceChildren(...PAGES.map((page) => {
    const tab = button(page, () => openPage(page));
    tab.dataset.page = page;
    return tab;
  }));
}

async function signIn() {
  setToken(byId("token").value);
  const present = await readConfiguration();
  if (!present.ok) {
    context.say(present.json.detail ?? `HTTP ${present.status}`);
    return;
  }
  byId("token").value = "";
  context.schema = await readSchema();
  context.base = { version: present.version, document: present.json };
  context.draft = structuredClone(present.json);
  byId("sign-in").hidden = true;
  byId("tabs").hidden = false;
  byId("main").hidden = false;
  context.say("");
  showTabs();
  render();
  setInterval(() => {
    if (context.page === "status" && !document.hidden) {
      render();
    }
  }, REFRESH_MS);
}

byId("sign-in").onsubmit = (event) => {
  event.preventDefault();
  signIn().catch((error) => context.say(`No answer: ${error.message}`));
};

// A draft lives in this page only; leaving it by accident would lose what was typed.
window.onbeforeunload = (event) => {
  if (differences(context.base.document, context.draft).length > 0) {
    event.preventDefault();
  }
};
