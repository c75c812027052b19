// Entry point of the console: signs in, holds the draft configuration and shows one page at a time.
"use strict";

import { readConfiguration, readSchema, setToken } from "./api.js";
import { differences } from "./document.js";
import { button } from "./elements.js";
import { partForm } from "./forms.js";
import { reviewPage } from "./review.js";
import { loadStatusPage } from "./status.js";

const STATUS_REFRESH_MS = 5000;
const PARTS = ["services", "models", "workspaces", "targets"];
const PAGES = ["status", ...PARTS, "review"];

const byId = (id) => document.getElementById(id);

const context = {
  schema: null,
  original: { version: 0, document: {} },
  draft: {},
  faults: [],
  conflict: null,
  openEntries: new Set(),
  filter: {},
  page: "status",
  showMessage: (text) => { byId("message").textContent = text; },
  onDraftChange: () => updateSummary(),
  render: () => render(),
};

function updateSummary() {
  const count = differences(context.original.document, context.draft).length;
  byId("summary").textContent = `version ${context.original.version}`
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
  updateSummary();
  if (context.page === "status") {
    showStatus().catch((error) => context.showMessage(`No response from the daemon: ${error.message}`));
  } else if (context.page === "review") {
    byId("main").replaceChildren(reviewPage(context));
  } else {
    byId("main").replaceChildren(partForm(context, context.page));
  }
}

function openPage(page) {
  context.page = page;
  context.showMessage("");
  render();
  byId("main").focus();
}

function createTabs() {
  byId("tabs").replaceChildren(...PAGES.map((page) => {
    const tab = button(page, () => openPage(page));
    tab.dataset.page = page;
    return tab;
  }));
}

async function signIn() {
  setToken(byId("token").value);
  const current = await readConfiguration();
  if (!current.ok) {
    context.showMessage(current.json.detail ?? `HTTP ${current.status}`);
    return;
  }
  byId("token").value = "";
  context.schema = await readSchema();
  context.original = { version: current.version, document: current.json };
  context.draft = structuredClone(current.json);
  byId("sign-in").hidden = true;
  byId("tabs").hidden = false;
  byId("main").hidden = false;
  context.showMessage("");
  createTabs();
  render();
  setInterval(() => {
    if (context.page === "status" && !document.hidden) {
      render();
    }
  }, STATUS_REFRESH_MS);
}

byId("sign-in").onsubmit = (event) => {
  event.preventDefault();
  signIn().catch((error) => context.showMessage(`No response from the daemon: ${error.message}`));
};

// The draft exists only in this page: the browser asks for confirmation before the page is left.
window.onbeforeunload = (event) => {
  if (differences(context.original.document, context.draft).length > 0) {
    event.preventDefault();
  }
};
