// Makes page elements. All text goes through textContent: a name or value from a document or
// a status can never become markup.
"use strict";

/** An element with properties, attributes for names with a hyphen, and children. */
export function element(tag, properties = {}, ...children) {
  const made = document.createElement(tag);
  for (const [name, value] of Object.entries(properties)) {
    if (name.includes("-")) {
      made.setAttribute(name, value);
    } else {
      made[name] = value;
    }
  }
  made.append(...children.filter((child) => child !== null).map(asNode));
  return made;
}

function asNode(child) {
  return child instanceof Node ? child : document.createTextNode(String(child));
}

export function button(text, onclick, properties = {}) {
  return element("button", { type: "button", onclick, ...properties }, text);
}

/** A table with a heading and a caption; each cell is a text or an element. */
export function table(caption, headings, rows) {
  const head = element("tr", {}, ...headings.map((text) => element("th", { scope: "col" }, text)));
  const body = rows.map((cells) => element("tr", {}, ...cells.map((cell) => element("td", {}, cell))));
  return element("table", {}, element("caption", {}, caption),
    element("thead", {}, head), element("tbody", {}, ...body));
}
