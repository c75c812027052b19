// Creates page elements. All text is inserted as text nodes, so that a name or value from a
// configuration document or a status is never parsed as markup.
"use strict";

/** Creates an element. Property names with a hyphen are set as attributes; null children are left out. */
export function element(tag, properties = {}, ...children) {
  const node = document.createElement(tag);
  for (const [name, value] of Object.entries(properties)) {
    if (name.includes("-")) {
      node.setAttribute(name, value);
    } else {
      node[name] = value;
    }
  }
  node.append(...children.filter((child) => child !== null).map(asNode));
  return node;
}

function asNode(child) {
  return child instanceof Node ? child : document.createTextNode(String(child));
}

export function button(text, onclick, properties = {}) {
  return element("button", { type: "button", onclick, ...properties }, text);
}

/** Creates a table with a caption and column headings; each cell is a text or an element. */
export function table(caption, headings, rows) {
  const head = element("tr", {}, ...headings.map((text) => element("th", { scope: "col" }, text)));
  const body = rows.map((cells) => element("tr", {}, ...cells.map((cell) => element("td", {}, cell))));
  return element("table", {}, element("caption", {}, caption),
    element("thead", {}, head), element("tbody", {}, ...body));
}
