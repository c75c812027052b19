// Uses the console as an operator would, and leaves what it saw in the page's body.
"use strict";

const seen = {};
const byId = (id) => document.getElementById(id);
const main = () => byId("main");

async function until(what, condition) {
  for (let i = 0; i < 400; ++i) {
    const value = condition();
    if (value) {
      return value;
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  throw new Error(`never came: ${what}; message: ${byId("message").textContent}`);
}

function press(text, root = document) {
  const found = [...root.querySelectorAll("button")].find((one) => one.textContent === text);
  if (!found) {
    throw new Error(`no button "${text}"`);
  }
  found.click();
}

function labelled(text) {
  const label = [...main().querySelectorAll("label")].find((one) => one.textContent === text);
  if (!label) {
    throw new Error(`no label "${text}"`);
  }
  return byId(label.htmlFor);
}

function type(input, value) {
  input.value = value;
  input.dispatchEvent(new Event("change"));
}

async function signIn() {
  byId("token").value = "the-secret";
  press("Sign in");
  seen.status = await until("status", () => main().textContent.includes("Daemon vm1") && main().textContent);
  seen.images = document.images.length;
  seen.tokenField = byId("token").value;
}

async function editService() {
  press("services");
  const entry = await until("service", () => main().querySelector("details"));
  entry.open = true;
  const input = await until("queue limit", () => main().querySelector("details .fields") && labelled("queue limit"));
  type(input, "7");
  seen.summary = byId("summary").textContent;
}

async function addWorkspace() {
  press("workspaces");
  type(labelled("New in workspaces"), "w2");
  press("Add");
  await until("new workspace", () => main().textContent.includes("Remove w2"));
}

async function loseRace() {
  if (location.hash === "#stop-at-form") {
    return;
  }
  press("review");
  seen.review = await until("review", () => main().textContent.includes("services.s.queue_limit") && main().textContent);
  press("Check");
  seen.faults = await until("faults", () => main().textContent.includes("workspaces.w2.services: expected") && main().textContent);
  press("Apply");
  seen.race = await until("race", () => main().textContent.includes("Conflict with version 2") && main().textContent);
  seen.summaryAfterRace = byId("summary").textContent;
  if (location.hash === "#stop-at-race") {
    return;
  }
  press("Rebase my changes onto the new version");
  press("Apply");
  await until("accepted", () => byId("message").textContent === "Accepted as version 3.");
  seen.summaryAtEnd = byId("summary").textContent;
}

(async () => {
  try {
    await signIn();
    await editService();
    await addWorkspace();
    await loseRace();
  } catch (error) {
    seen.error = String(error);
  }
  const result = document.createElement("script");
  result.type = "application/json";
  result.id = "seen";
  result.textContent = JSON.stringify(seen);
  document.body.append(result);
})();
