"use strict";
