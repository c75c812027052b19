// Client of the daemon's operator API. The operator token is kept in memory only and is sent only
// in the Authorization header, never in a URL, a cookie or the page's storage.
"use strict";

let token = "";

export function setToken(text) {
  token = text;
}

async function request(method, path, body, headers = {}) {
  const response = await fetch(path, {
    method,
    body,
    cache: "no-store",
    credentials: "omit",
    headers: { Authorization: `Bearer ${token}`, ...headers },
  });
  const text = await response.text();
  let json = {};
  try {
    json = JSON.parse(text);
  } catch {
    json = { detail: `HTTP ${response.status} without a JSON body` };
  }
  return { status: response.status, ok: response.ok, json, version: versionOf(response) };
}

function versionOf(response) {
  return Number((response.headers.get("ETag") ?? "").replaceAll('"', ""));
}

export function readConfiguration() {
  return request("GET", "/v1/configuration");
}

export function validate(document) {
  return request("POST", "/v1/configuration/validate", JSON.stringify(document));
}

export function submit(version, document) {
  return request("PUT", "/v1/configuration", JSON.stringify(document), {
    "Content-Type": "application/json",
    "If-Match": `"${version}"`,
  });
}

export function readStatus() {
  return request("GET", "/v1/status");
}

export async function readSchema() {
  return (await fetch("/console/schema.json")).json();
}
